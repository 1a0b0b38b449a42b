package bergamotplacement

import (
	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotfleet"
)

// Serving returns the version of a pipeline's model that new requests should use: the declared one when usable runners
// hold all its layers with the adapter, otherwise another that they hold completely. Without it a new version would
// leave the pipeline unserved until the first runners have loaded it.
func Serving(b *bergamotbundle.Bundle, p bergamotbundle.Pipeline, f *bergamotfleet.Fleet) (version string, ok bool) {
	return cover(b, f, nil).version(p)
}

// cover counts the holdings of all usable runners but those to avoid.
func cover(b *bergamotbundle.Bundle, f *bergamotfleet.Fleet, avoid map[string]bool) *coverage {
	c := newCoverage(b)
	for _, i := range f.ByRole(bergamotfleet.RoleRunner) {
		if i.Usable() && !avoid[i.Name()] {
			c.add(i.Holdings(), 1)
		}
	}
	return c
}
