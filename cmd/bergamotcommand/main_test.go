package bergamotcommand_test

import (
	"os"
	"testing"

	"bergamotspur/cmd/bergamotcommand"
	"bergamotspur/core/bergamottest"
)

// childEnv is the environment variable that makes the test binary run the command line instead of the tests, so that tests
// can start the program as a separate process without building it.
const childEnv = "BERGAMOTSPUR_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(childEnv) != "" {
		os.Exit(bergamotcommand.Main(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

func TestCommand(t *testing.T) { bergamottest.Run(t, "command") }
