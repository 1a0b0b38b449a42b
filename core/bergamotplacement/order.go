package bergamotplacement

import (
	"slices"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotfleet"
)

// Order tells a runner what it should hold; whatever else it holds is dropped at once.
type Order struct {
	runner   string
	address  string
	holdings []bergamotfleet.Holding
	layers   int
}

// Runner returns the name of the runner.
func (o Order) Runner() string { return o.runner }

// Address returns host and port of the runner.
func (o Order) Address() string { return o.address }

// Holdings returns all that the runner should hold.
func (o Order) Holdings() []bergamotfleet.Holding { return o.holdings }

// Layers returns how many layers the runner has to load.
func (o Order) Layers() int { return o.layers }

// Met tells whether a runner reports what was ordered.
func (o Order) Met(i bergamotfleet.Instance) bool { return same(i.Holdings(), o.holdings) }

// Orders returns at most count commands that bring runners towards the plan. Busy runners have been ordered to load and
// have not reported it yet; they count as serving nothing. No order, together with those before it, takes away the last
// version that serves a pipeline.
func Orders(b *bergamotbundle.Bundle, f *bergamotfleet.Fleet, p Plan, busy map[string]bool, count int) (out []Order) {
	c := newCoverage(b)
	for _, i := range f.ByRole(bergamotfleet.RoleRunner) {
		if i.Usable() && !busy[i.Name()] {
			c.add(i.Holdings(), 1)
		}
	}
	for _, name := range p.sequence {
		i, ok := f.Instance(name)
		want, _ := p.Holding(name)
		if len(out) >= count {
			break
		}
		if !ok || busy[name] || !i.Usable() || same(i.Holdings(), []bergamotfleet.Holding{want}) {
			continue
		}
		o := newOrder(i, want)
		if c.without(dropped(i, o)) {
			out = append(out, o)
			continue
		}
		// Where both fit beside each other, the old layers serve until the new ones are loaded.
		if o, ok = beside(i, i.Holdings(), want); ok {
			out = append(out, o)
			continue
		}
		// A late order at an engine without fencing can fill the memory with several old versions.
		if rest := needed(c, i, want); len(rest) < len(i.Holdings()) {
			if o, ok = beside(i, rest, want); ok {
				out = append(out, o)
				continue
			}
			c.add(dropped(i, newOrder(i, rest...)), 1)
		}
	}
	return out
}

func newOrder(i bergamotfleet.Instance, want ...bergamotfleet.Holding) Order {
	o := Order{runner: i.Name(), address: i.Address(), holdings: want}
	for _, h := range want {
		if !slices.ContainsFunc(i.Holdings(), func(x bergamotfleet.Holding) bool { return equal(x, h) }) {
			o.layers += h.To() - h.From()
		}
	}
	return o
}

// needed returns what a runner has to keep so that each pipeline stays served; the rest is no longer counted.
func needed(c *coverage, i bergamotfleet.Instance, want bergamotfleet.Holding) (out []bergamotfleet.Holding) {
	for _, h := range i.Holdings() {
		if equal(h, want) || !c.without([]bergamotfleet.Holding{h}) {
			out = append(out, h)
		}
	}
	return out
}

// beside returns an order that adds want to a part of what the runner holds.
func beside(i bergamotfleet.Instance, part []bergamotfleet.Holding, want bergamotfleet.Holding) (o Order, fits bool) {
	if slices.ContainsFunc(i.Holdings(), func(h bergamotfleet.Holding) bool { return equal(h, want) }) {
		return o, false
	}
	o = newOrder(i, append(slices.Clone(part), want)...)
	layers := 0
	for _, h := range o.holdings {
		layers += h.To() - h.From()
	}
	return o, layers <= i.MaxLayers()
}

// dropped returns what an order takes away from a runner.
func dropped(i bergamotfleet.Instance, o Order) (out []bergamotfleet.Holding) {
	for _, h := range i.Holdings() {
		if !slices.ContainsFunc(o.holdings, func(x bergamotfleet.Holding) bool { return equal(x, h) }) {
			out = append(out, h)
		}
	}
	return out
}

func same(a, b []bergamotfleet.Holding) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(h bergamotfleet.Holding) bool {
		return !slices.ContainsFunc(b, func(x bergamotfleet.Holding) bool { return equal(h, x) })
	})
}

func equal(a, b bergamotfleet.Holding) bool {
	sortedA, sortedB := slices.Sorted(slices.Values(a.Adapters())), slices.Sorted(slices.Values(b.Adapters()))
	return a.Model() == b.Model() && a.Version() == b.Version() && a.From() == b.From() && a.To() == b.To() &&
		slices.Equal(sortedA, sortedB)
}
