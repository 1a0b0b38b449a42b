package bergamotlayout

import (
	"cmp"
	"slices"
)

const (
	leastRequests = 16.0 // requests for which a runner keeps memory; fewer would preempt at the usual concurrency
	// planRequests is the number of requests for which each runner of a copy has room where there is enough memory:
	// a data centre with 25 requests a second of some 3 s each has 75 under way, and half as many more at a peak or when
	// another data centre is out.
	planRequests = 110.0
	roomStep     = 0.85 // factor on the requests when there is not enough memory for a copy
)

// Layout assigns layers to runners. It keeps no state: each call starts from what the runners hold.
type Layout struct {
	Model Model
}

// Plan returns what each runner should hold. Runners that hold layers keep them unless the layers of a copy could
// not be covered otherwise, since each change of a range loads weights. Runners that are missing from the result
// stay as they are.
func (l *Layout) Plan(runners []Runner) map[string]Span {
	out := map[string]Span{}
	for _, g := range l.groups(runners) {
		l.plan(g, out)
	}
	return out
}

// groups returns the sets of runners that hold whole copies: each data centre with enough memory, and all others
// together.
func (l *Layout) groups(runners []Runner) (out [][]Runner) {
	centres := map[string][]Runner{}
	var names []string
	for _, r := range runners {
		if _, ok := centres[r.centre]; !ok {
			names = append(names, r.centre)
		}
		centres[r.centre] = append(centres[r.centre], r)
	}
	slices.Sort(names)
	var rest []Runner
	for _, name := range names {
		if l.fits(centres[name]) {
			out = append(out, centres[name])
		} else {
			rest = append(rest, centres[name]...)
		}
	}
	if l.fits(rest) {
		return append(out, rest)
	}
	if len(out) == 0 {
		return nil
	}
	// Runners of data centres without a copy of their own replicate the last group.
	out[len(out)-1] = append(out[len(out)-1], rest...)
	return out
}

func (l *Layout) fits(runners []Runner) bool {
	n := 0
	for _, r := range runners {
		n += l.Model.Most(r.memory)
	}
	return n >= l.Model.layers
}

// plan assigns the layers of one group.
func (l *Layout) plan(runners []Runner, out map[string]Span) {
	slices.SortFunc(runners, func(a, b Runner) int { return cmp.Compare(a.name, b.name) })
	r := newRepair(l.Model, runners)
	holds := len(r.spans) > 0
	if r.complete() || r.closeGaps() {
		r.replicate()
		r.rebalance()
		r.relax()
		r.copyTo(out)
		return
	}
	order := byPace
	if holds {
		order = byPlace
	}
	l.fresh(runners, order, out)
}

// byPace puts fast runners first: few of them make a token faster than many slow ones.
func byPace(a, b Runner) int {
	return cmp.Or(cmp.Compare(a.pace, b.pace), cmp.Compare(b.memory, a.memory), cmp.Compare(a.name, b.name))
}

// byPlace keeps runners in the order of the layers that they hold, so that most of them keep a part of these. Runners
// that hold nothing come last.
func byPlace(a, b Runner) int {
	return cmp.Or(cmp.Compare(a.place(), b.place()), byPace(a, b))
}

// fresh lays out a group anew: whole copies on the first of the runners that are left, as many as there is memory for,
// and then more holders for the layers with the least room.
func (l *Layout) fresh(runners []Runner, order func(a, b Runner) int, out map[string]Span) {
	left := slices.Clone(runners)
	slices.SortStableFunc(left, order)
	for i := range left {
		left[i].held = Span{}
	}
	r := newRepair(l.Model, left)
	for requests := planRequests; requests >= leastRequests; {
		n := l.chain(left, requests, r.spans)
		switch {
		case n > 0:
			left = left[n:]
		case len(r.spans) > 0:
			requests = 0
		default:
			// There is not enough memory for a copy with that much room.
			requests *= roomStep
		}
	}
	r.count()
	r.replicate()
	r.relax()
	r.copyTo(out)
}

// chain gives one copy to the first of the runners that are enough for it, each with room for a number of requests,
// and returns how many it took, 0 when they do not suffice. Few fast runners make a token faster than many slow ones.
func (l *Layout) chain(runners []Runner, requests float64, out map[string]Span) (n int) {
	sum := 0
	for sum < l.Model.layers && n < len(runners) {
		sum += l.Model.Fit(runners[n].memory, requests)
		n++
	}
	if sum < l.Model.layers {
		return 0
	}
	at := 0
	for _, r := range runners[:n] {
		end := min(at+l.Model.Fit(r.memory, requests), l.Model.layers)
		if end > at {
			out[r.name] = NewSpan(at, end)
		}
		at = end
	}
	return n
}
