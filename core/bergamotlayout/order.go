package bergamotlayout

import (
	"maps"
	"slices"
)

// Ordered is a runner with the range that it should hold.
type Ordered struct {
	Runner Runner // with the layers that it has for certain
	Span   Span
	// Cut tells that the runner takes layers for which it has memory only without some of the requests that it runs. With it
	// these are cut off and go on at another path; otherwise the layers wait, 8 s and more, until enough of them have ended.
	Cut bool
}

// Allowed returns the orders of a plan that may be given now. A runner gives a layer up only when another one of its data
// centre has it already: otherwise no request finds a path there until the layer is loaded. Of the data centres that
// lack layers, the one that lacks the fewest gets all orders at once; paths may lead over what the others have meanwhile.
// Its runners that only take layers make room for them.
func Allowed(m Model, runners []Runner, orders []Ordered) (out []Ordered) {
	cover := covers(m, runners)
	free := freed(cover)
	for _, o := range orders {
		c := cover[o.Runner.centre]
		if o.Runner.centre != free && !spared(c, o) {
			continue
		}
		for i := o.Runner.held.from; i < min(o.Runner.held.to, m.layers); i++ {
			if i < o.Span.from || i >= o.Span.to {
				c[i]--
			}
		}
		o.Cut = o.Runner.centre == free && o.Runner.held.Len() > 0 && o.Span.covers(o.Runner.held)
		out = append(out, o)
	}
	return out
}

// freed returns the data centre that lacks layers, and of several the one that lacks the fewest; empty for none.
func freed(cover map[string][]int) (centre string) {
	fewest := 0
	for _, name := range slices.Sorted(maps.Keys(cover)) {
		missing := 0
		for _, n := range cover[name] {
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

// Lacking tells whether a data centre that holds layers lacks others.
func Lacking(m Model, runners []Runner) bool {
	for _, c := range covers(m, runners) {
		if slices.Max(c) > 0 && slices.Contains(c, 0) {
			return true
		}
	}
	return false
}

// covers returns how many runners of each data centre hold each layer.
func covers(m Model, runners []Runner) map[string][]int {
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

// spared tells whether others have all layers that a runner is to give up.
func spared(cover []int, o Ordered) bool {
	for i := o.Runner.held.from; i < min(o.Runner.held.to, len(cover)); i++ {
		if (i < o.Span.from || i >= o.Span.to) && cover[i] < 2 {
			return false
		}
	}
	return true
}
