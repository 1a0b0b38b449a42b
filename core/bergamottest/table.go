package bergamottest

import (
	"maps"
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

// Run runs the specs of a package as the suite with that name.
func Run(t *testing.T, name string) {
	t.Helper()
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, name)
}
