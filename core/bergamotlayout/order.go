package bergamotlayout

import (
	"maps"
	"slices"
)

// Order assigns a range of layers to a runner.
type Order struct {
	Runner Runner // with only the layers that it is known to hold
	Span   Span
	// InterruptRequests lets the runner interrupt running requests if it needs their memory for the new layers. Interrupted
	// requests continue on another path. Otherwise loading waits until enough requests have ended, which takes 8 s or more.
	InterruptRequests bool
}

// AllowedOrders returns the orders of a plan that can be given now without leaving a data centre without a path.
func AllowedOrders(m Model, runners []Runner, orders []Order) (out []Order) {
	holders := countHolders(m, runners)
	// The incomplete data centre that lacks the fewest layers gets all of its orders at once. Meanwhile paths can use the
	// runners of the other data centres.
	unrestricted := mostCompleteCentre(holders)
	for _, o := range orders {
		c := holders[o.Runner.centre]
		// Elsewhere a runner keeps a layer until another runner of its data centre holds it: otherwise no path there
		// covers the layer until it is loaded.
		if o.Runner.centre != unrestricted && !canGiveUp(c, o) {
			continue
		}
		for i := o.Runner.held.from; i < min(o.Runner.held.to, m.layers); i++ {
			if i < o.Span.from || i >= o.Span.to {
				c[i]--
			}
		}
		// A runner that only gains layers needs more memory for weights.
		o.InterruptRequests = o.Runner.centre == unrestricted && o.Runner.held.Len() > 0 && o.Span.contains(o.Runner.held)
		out = append(out, o)
	}
	return out
}

// mostCompleteCentre returns the data centre that lacks the fewest layers among those that lack any, or an empty name
// when none lacks layers.
func mostCompleteCentre(holders map[string][]int) (centre string) {
	fewest := 0
	for _, name := range slices.Sorted(maps.Keys(holders)) {
		missing := 0
		for _, n := range holders[name] {
			if n == 0 {
				missing++
			}
		}
		if missing > 0 && (centre == "" || missing < fewest) {
			centre, fewest = name, missing
		}
	}
	return centre
}

// HasIncompleteDataCentre reports whether a data centre holds some layers of the model but not all.
func HasIncompleteDataCentre(m Model, runners []Runner) bool {
	for _, c := range countHolders(m, runners) {
		if slices.Max(c) > 0 && slices.Contains(c, 0) {
			return true
		}
	}
	return false
}

// countHolders returns how many runners of each data centre hold each layer.
func countHolders(m Model, runners []Runner) map[string][]int {
	out := map[string][]int{}
	for _, r := range runners {
		if out[r.centre] == nil {
			out[r.centre] = make([]int, m.layers)
		}
		for i := r.held.from; i < min(r.held.to, m.layers); i++ {
			out[r.centre][i]++
		}
	}
	return out
}

// canGiveUp reports whether other runners hold all layers that the runner of an order gives up.
func canGiveUp(holders []int, o Order) bool {
	for i := o.Runner.held.from; i < min(o.Runner.held.to, len(holders)); i++ {
		if (i < o.Span.from || i >= o.Span.to) && holders[i] < 2 {
			return false
		}
	}
	return true
}
