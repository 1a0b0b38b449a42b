package bergamotroute

import (
	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotfleet"
)

// Want describes the path that a request needs.
type Want struct {
	Pipeline bergamotbundle.Pipeline
	Fleet    *bergamotfleet.Fleet
	Avoid    map[string]bool // instances that must not be used
	Tokens   int             // tokens still to be generated, as far as is known
}
