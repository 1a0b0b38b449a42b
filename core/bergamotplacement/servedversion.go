package bergamotplacement

import (
	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotfleet"
)

// ServedVersion returns the version of a pipeline's model that new requests should use: the declared one if usable runners
// hold all its layers and the adapter, otherwise another that they hold completely. Without the fallback, a new version
// would leave the pipeline unserved until the first runners have loaded it.
func ServedVersion(b *bergamotbundle.Bundle, p bergamotbundle.Pipeline, f *bergamotfleet.Fleet) (version string, ok bool) {
	return usableCoverage(b, f, nil).version(p)
}

// usableCoverage counts the holdings of all usable runners except those to avoid.
func usableCoverage(b *bergamotbundle.Bundle, f *bergamotfleet.Fleet, avoid map[string]bool) *coverage {
	c := newCoverage(b)
	for _, i := range f.ByRole(bergamotfleet.RoleRunner) {
		if i.Usable() && !avoid[i.Name()] {
			c.add(i.Holdings(), 1)
		}
	}
	return c
}
