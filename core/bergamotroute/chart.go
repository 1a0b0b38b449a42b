package bergamotroute

import (
	"slices"

	"bergamotspur/core/bergamotfleet"
)

// chart is the part of an index that serves one model version and adapter.
type chart struct {
	layers int
	bounds []int // layers at which a stage may begin, in order, and the end of the model
	groups []*group
	parts  []part
	ranges []extent
}

// group is the targets that are alike in range, data centre and kind, so that a choice need not look at all of them.
type group struct {
	groupKey
	members []*target
}

type groupKey struct {
	from, to, centre int
	kind             string
}

// part is one holding, as the bound sees it.
type part struct {
	target *target
	extent int // index of its range
}

// extent is a range of layers that one or more targets hold.
type extent struct{ from, to int }

func newChart(x *index, key chartKey, layers int) *chart {
	c := &chart{layers: layers}
	groups := map[groupKey]*group{}
	seen := make([]bool, layers+1)
	seen[0], seen[layers] = true, true
	for _, i := range x.fleet.ByRole(bergamotfleet.RoleRunner) {
		t := x.targets[i.Name()]
		if t == nil {
			continue
		}
		from, to := longest(i, key, layers)
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
		c.parts = append(c.parts, part{t, c.extent(from, to)})
		seen[to] = true
	}
	for n, ok := range seen {
		if ok {
			c.bounds = append(c.bounds, n)
		}
	}
	slices.SortStableFunc(c.groups, func(a, b *group) int { return a.from - b.from })
	return c
}

// longest returns the longest range that an instance holds. Only one range counts, since a target keeps one span
// for each attempt and must not occur twice on a path.
func longest(i bergamotfleet.Instance, key chartKey, layers int) (from, to int) {
	for _, h := range i.Holdings() {
		end := min(h.To(), layers)
		if h.Serves(key.model, key.version, key.adapter) && h.From() >= 0 && end-h.From() > to-from {
			from, to = h.From(), end
		}
	}
	return from, to
}

// extent returns the index of a range, of which there are few.
func (c *chart) extent(from, to int) int {
	n := slices.Index(c.ranges, extent{from, to})
	if n < 0 {
		n = len(c.ranges)
		c.ranges = append(c.ranges, extent{from, to})
	}
	return n
}
