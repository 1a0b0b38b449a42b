package bergamotplacement

import (
	"slices"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotfleet"
)

// Order is a command to a runner that lists what it should hold; the runner drops everything else at once.
type Order struct {
	runner       string
	address      string
	holdings     []bergamotfleet.Holding
	layersToLoad int
}

// Runner returns the name of the runner.
func (o Order) Runner() string { return o.runner }

// Address returns the host and port of the runner.
func (o Order) Address() string { return o.address }

// Holdings returns everything that the runner should hold.
func (o Order) Holdings() []bergamotfleet.Holding { return o.holdings }

// LayersToLoad returns the number of layers that the runner does not hold yet.
func (o Order) LayersToLoad() int { return o.layersToLoad }

// IsMetBy reports whether an instance reports exactly the ordered holdings.
func (o Order) IsMetBy(i bergamotfleet.Instance) bool { return sameHoldings(i.Holdings(), o.holdings) }

// Orders returns at most maxOrders orders that bring runners towards the plan. Busy runners are still loading what an
// earlier order listed, so they count as serving nothing. The orders, together with earlier ones, never remove the last
// version that serves a pipeline.
func Orders(b *bergamotbundle.Bundle, f *bergamotfleet.Fleet, p Plan, busy map[string]bool, maxOrders int) (out []Order) {
	c := newCoverage(b)
	for _, i := range f.ByRole(bergamotfleet.RoleRunner) {
		if i.Usable() && !busy[i.Name()] {
			c.add(i.Holdings(), 1)
		}
	}
	for _, name := range p.rolloutOrder {
		i, ok := f.Instance(name)
		desired, _ := p.Holding(name)
		if len(out) >= maxOrders {
			break
		}
		if !ok || busy[name] || !i.Usable() || sameHoldings(i.Holdings(), []bergamotfleet.Holding{desired}) {
			continue
		}
		o := newOrder(i, desired)
		if c.tryRemove(droppedHoldings(i, o)) {
			out = append(out, o)
			continue
		}
		// If both fit into memory, the old layers stay in service until the new ones are loaded.
		if o, ok = newAdditiveOrder(i, i.Holdings(), desired); ok {
			out = append(out, o)
			continue
		}
		// An engine that ignores fencing tokens may have obeyed late orders, so that several old versions fill its memory.
		if required := requiredHoldings(c, i, desired); len(required) < len(i.Holdings()) {
			if o, ok = newAdditiveOrder(i, required, desired); ok {
				out = append(out, o)
				continue
			}
			c.add(droppedHoldings(i, newOrder(i, required...)), 1)
		}
	}
	return out
}

// newOrder returns an order for a runner to hold exactly the desired layers.
func newOrder(i bergamotfleet.Instance, desired ...bergamotfleet.Holding) Order {
	o := Order{runner: i.Name(), address: i.Address(), holdings: desired}
	for _, h := range desired {
		if !slices.ContainsFunc(i.Holdings(), func(x bergamotfleet.Holding) bool { return equalHolding(x, h) }) {
			o.layersToLoad += h.To() - h.From()
		}
	}
	return o
}

// requiredHoldings returns the holdings that a runner must keep so that each pipeline stays served, and stops counting
// the others.
func requiredHoldings(c *coverage, i bergamotfleet.Instance, desired bergamotfleet.Holding) (out []bergamotfleet.Holding) {
	for _, h := range i.Holdings() {
		if equalHolding(h, desired) || !c.tryRemove([]bergamotfleet.Holding{h}) {
			out = append(out, h)
		}
	}
	return out
}

// newAdditiveOrder returns an order to hold the desired layers in addition to the kept ones. It reports whether they fit
// into the memory of the runner; it also reports false if the runner already holds the desired layers.
func newAdditiveOrder(i bergamotfleet.Instance, kept []bergamotfleet.Holding, desired bergamotfleet.Holding) (o Order, fits bool) {
	if slices.ContainsFunc(i.Holdings(), func(h bergamotfleet.Holding) bool { return equalHolding(h, desired) }) {
		return o, false
	}
	o = newOrder(i, append(slices.Clone(kept), desired)...)
	layers := 0
	for _, h := range o.holdings {
		layers += h.To() - h.From()
	}
	return o, layers <= i.MaxLayers()
}

// droppedHoldings returns the holdings of a runner that an order removes.
func droppedHoldings(i bergamotfleet.Instance, o Order) (out []bergamotfleet.Holding) {
	for _, h := range i.Holdings() {
		if !slices.ContainsFunc(o.holdings, func(x bergamotfleet.Holding) bool { return equalHolding(x, h) }) {
			out = append(out, h)
		}
	}
	return out
}

// sameHoldings reports whether two lists contain the same holdings in any order.
func sameHoldings(a, b []bergamotfleet.Holding) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(h bergamotfleet.Holding) bool {
		return !slices.ContainsFunc(b, func(x bergamotfleet.Holding) bool { return equalHolding(h, x) })
	})
}

// equalHolding reports whether two holdings are equal, whatever the order of their adapters.
func equalHolding(a, b bergamotfleet.Holding) bool {
	sortedA, sortedB := slices.Sorted(slices.Values(a.Adapters())), slices.Sorted(slices.Values(b.Adapters()))
	return a.Model() == b.Model() && a.Version() == b.Version() && a.From() == b.From() && a.To() == b.To() &&
		slices.Equal(sortedA, sortedB)
}
