// Bergamotspur routes inference requests over pipelines of mixed accelerators.
package main

import (
	"os"

	"bergamotspur/cmd/bergamotcommand"
)

func main() { os.Exit(bergamotcommand.Main(os.Args[1:], os.Stdout, os.Stderr)) }
