package bergamotcommand_test

import (
	"os"
	"testing"

	"bergamotspur/cmd/bergamotcommand"
	"bergamotspur/core/bergamottest"
)

// childEnv makes the test binary behave as the program, so that tests start real processes without a build step.
const childEnv = "BERGAMOTSPUR_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(childEnv) != "" {
		os.Exit(bergamotcommand.Main(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

func TestCommand(t *testing.T) { bergamottest.Run(t, "command") }
