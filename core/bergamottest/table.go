package bergamottest

import (
	"maps"
	"slices"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// Entries registers one spec for each case of a table, in the order of the names.
func Entries[C any](table map[string]C, body func(c C)) {
	for _, name := range slices.Sorted(maps.Keys(table)) {
		ginkgo.It(name, func() { body(table[name]) })
	}
}

// Run runs the specs of a package.
func Run(t *testing.T, name string) {
	t.Helper()
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, name)
}
