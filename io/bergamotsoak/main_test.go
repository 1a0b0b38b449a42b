package bergamotsoak

import (
	"os"
	"testing"

	"bergamotspur/cmd/bergamotcommand"
	"bergamotspur/core/bergamottest"
)

// childEnv makes the test binary run the program instead of the tests.
const childEnv = "BERGAMOTSPUR_SOAK_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(childEnv) != "" {
		os.Exit(bergamotcommand.Main(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

func TestSoak(t *testing.T) { bergamottest.Run(t, "soak") }
