package bergamotclaim_test

import (
	"flag"
	"os"
	"testing"

	"bergamotspur/core/bergamottest"
)

// TestMain fixes the seed of generated tests, so that a failure in CI is caused by the change under test, and raises
// the number of checks, since the default of 100 missed most faults that were injected on purpose. Flags take
// precedence.
func TestMain(m *testing.M) {
	flag.Parse()
	fixed := map[string]string{"rapid.seed": "1", "rapid.checks": "1000", "rapid.steps": "60"}
	flag.Visit(func(f *flag.Flag) { delete(fixed, f.Name) })
	for name, value := range fixed {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func TestClaim(t *testing.T) { bergamottest.Run(t, "claim") }
