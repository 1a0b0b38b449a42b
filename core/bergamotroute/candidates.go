package bergamotroute

import (
	"slices"

	"bergamotspur/core/bergamotfleet"
)

// candidates holds the targets of an index that serve one version of a model with one adapter.
type candidates struct {
	layers     int
	boundaries []int // sorted layers at which a stage may begin, followed by the number of layers
	groups     []*group
	holdings   []holding
	ranges     []layerRange
}

// group is a set of targets with the same range, data centre and kind, so that path selection can compare a sample of
// them instead of all.
type group struct {
	groupKey
	members []*target
}

type groupKey struct {
	from, to, centre int
	kind             string
}

// holding is a target with the range that it holds, as MaxFlow needs it.
type holding struct {
	target     *target
	rangeIndex int // index into candidates.ranges
}

// layerRange is a range of layers that one or more targets hold.
type layerRange struct{ from, to int }

func newCandidates(x *index, key modelKey, layers int) *candidates {
	c := &candidates{layers: layers}
	groups := map[groupKey]*group{}
	isBoundary := make([]bool, layers+1)
	isBoundary[0], isBoundary[layers] = true, true
	for _, i := range x.fleet.ByRole(bergamotfleet.RoleRunner) {
		t := x.targets[i.Name()]
		if t == nil {
			continue
		}
		from, to := longestRange(i, key, layers)
		if from >= to {
			continue
		}
		k := groupKey{from, to, x.centre(i.DataCentre()), i.Kind()}
		g, ok := groups[k]
		if !ok {
			g = &group{groupKey: k}
			groups[k] = g
			c.groups = append(c.groups, g)
		}
		g.members = append(g.members, t)
		c.holdings = append(c.holdings, holding{t, c.layerRange(from, to)})
		isBoundary[to] = true
	}
	for n, ok := range isBoundary {
		if ok {
			c.boundaries = append(c.boundaries, n)
		}
	}
	slices.SortStableFunc(c.groups, func(a, b *group) int { return a.from - b.from })
	return c
}

// longestRange returns the longest range that an instance holds. Only one range counts, since a target keeps one span
// for each attempt and must not occur twice on a path.
func longestRange(i bergamotfleet.Instance, key modelKey, layers int) (from, to int) {
	for _, h := range i.Holdings() {
		end := min(h.To(), layers)
		if h.Serves(key.model, key.version, key.adapter) && h.From() >= 0 && end-h.From() > to-from {
			from, to = h.From(), end
		}
	}
	return from, to
}

// layerRange returns the index of a range in c.ranges, which it adds if it is missing. There are few ranges, so a linear
// search suffices.
func (c *candidates) layerRange(from, to int) int {
	n := slices.Index(c.ranges, layerRange{from, to})
	if n < 0 {
		n = len(c.ranges)
		c.ranges = append(c.ranges, layerRange{from, to})
	}
	return n
}
