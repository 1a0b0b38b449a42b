package bergamottest

import (
	"maps"
	"os"
	"slices"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// Cases registers one spec for each case of a table, sorted by name.
func Cases[C any](table map[string]C, body func(c C)) {
	for _, name := range slices.Sorted(maps.Keys(table)) {
		ginkgo.It(name, func() { body(table[name]) })
	}
}

// Run runs the specs of a package as the suite with that name. Specs that KNOWN-RED.txt lists may fail while
// BERGAMOTSPUR_KNOWN_FAILURES is set.
func Run(t *testing.T, name string) {
	t.Helper()
	gomega.RegisterFailHandler(ginkgo.Fail)
	if folder := os.Getenv(knownFailuresEnv); folder != "" {
		runTolerant(t, name, folder)
		return
	}
	ginkgo.RunSpecs(t, name)
}
