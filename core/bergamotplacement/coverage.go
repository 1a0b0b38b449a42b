package bergamotplacement

import (
	"slices"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotfleet"
)

// coverage counts the runners that serve each layer of each pipeline, by version.
type coverage struct {
	byModel map[string][]bergamotbundle.Pipeline // pipelines by model
	counts  map[string]map[string][]int          // number of runners by pipeline, version and layer
}

func newCoverage(b *bergamotbundle.Bundle) *coverage {
	c := &coverage{byModel: map[string][]bergamotbundle.Pipeline{}, counts: map[string]map[string][]int{}}
	for _, name := range b.Pipelines() {
		p, _ := b.Pipeline(name)
		c.byModel[p.Model().Name()] = append(c.byModel[p.Model().Name()], p)
		c.counts[name] = map[string][]int{}
	}
	return c
}

// add adds delta to the count of each layer that the holdings of a runner serve.
func (c *coverage) add(holdings []bergamotfleet.Holding, delta int) {
	for _, h := range holdings {
		for _, p := range c.byModel[h.Model()] {
			if !h.Serves(h.Model(), h.Version(), p.Adapter()) {
				continue
			}
			layers := c.counts[p.Name()][h.Version()]
			if layers == nil {
				layers = make([]int, p.Model().Layers())
				c.counts[p.Name()][h.Version()] = layers
			}
			for l := max(h.From(), 0); l < min(h.To(), len(layers)); l++ {
				layers[l] += delta
			}
		}
	}
}

// version returns the version that serves a pipeline completely, preferring the declared one.
func (c *coverage) version(p bergamotbundle.Pipeline) (version string, ok bool) {
	for v, layers := range c.counts[p.Name()] {
		if slices.Contains(layers, 0) {
			continue
		}
		if v == p.Model().Version() {
			return v, true
		}
		version, ok = max(version, v), true
	}
	return version, ok
}

// tryRemove stops counting holdings if every pipeline that is served now stays served without them, and reports whether
// it did.
func (c *coverage) tryRemove(holdings []bergamotfleet.Holding) bool {
	var affected []bergamotbundle.Pipeline
	for _, h := range holdings {
		for _, p := range c.byModel[h.Model()] {
			if _, ok := c.version(p); ok {
				affected = append(affected, p)
			}
		}
	}
	c.add(holdings, -1)
	for _, p := range affected {
		if _, ok := c.version(p); !ok {
			c.add(holdings, 1)
			return false
		}
	}
	return true
}
