package bergamotlayout

import (
	"cmp"
	"slices"
)

const (
	// minRequests is the smallest number of requests for which a runner keeps memory. With fewer, engines would preempt
	// requests at the usual concurrency.
	minRequests = 16.0
	// plannedRequests is the capacity planned for each runner of a replica if there is enough memory. A data centre with
	// 25 requests/s of about 3 s each has 75 in flight, and half as many more at a peak or during an outage of another
	// data centre.
	plannedRequests = 110.0
	// requestsReduction is the factor by which the planned requests are reduced until the memory suffices for a replica.
	requestsReduction = 0.85
)

// Planner assigns the layers of a model to runners. It is stateless: each plan starts from what the runners hold. A
// replica is a set of runners that together hold all layers.
type Planner struct {
	Model Model
}

// Plan returns the layers that each runner should hold; runners that are missing from the result stay unchanged.
//
// Runners keep the layers that they hold unless the layers of a replica cannot be covered otherwise, since each change of
// a range loads weights.
func (p *Planner) Plan(runners []Runner) map[string]Span {
	out := map[string]Span{}
	for _, g := range p.groups(runners) {
		p.planGroup(g, out)
	}
	return out
}

// groups divides the runners into groups that hold whole replicas: one for each data centre with enough memory, and one
// for all other runners.
func (p *Planner) groups(runners []Runner) (out [][]Runner) {
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
		if p.canHoldModel(centres[name]) {
			out = append(out, centres[name])
		} else {
			rest = append(rest, centres[name]...)
		}
	}
	if p.canHoldModel(rest) {
		return append(out, rest)
	}
	if len(out) == 0 {
		return nil
	}
	// Runners that cannot hold a replica of their own add capacity to the last group.
	out[len(out)-1] = append(out[len(out)-1], rest...)
	return out
}

// canHoldModel reports whether the runners have enough memory for a replica.
func (p *Planner) canHoldModel(runners []Runner) bool {
	n := 0
	for _, r := range runners {
		n += p.Model.MaxLayers(r.memory)
	}
	return n >= p.Model.layers
}

// planGroup adds the layers of each runner of one group to out.
func (p *Planner) planGroup(runners []Runner, out map[string]Span) {
	slices.SortFunc(runners, func(a, b Runner) int { return cmp.Compare(a.name, b.name) })
	g := newGroupPlan(p.Model, runners)
	holdsLayers := len(g.spans) > 0
	if g.isComplete() || g.closeGaps() {
		g.replicateLayers()
		g.rebalance()
		g.relieveBottlenecks()
		g.copyTo(out)
		return
	}
	order := byPace
	if holdsLayers {
		order = byHeldLayers
	}
	p.planFromScratch(runners, order, out)
}

// byPace sorts fast runners first: a token passes a few fast runners sooner than many slow ones.
func byPace(a, b Runner) int {
	return cmp.Or(cmp.Compare(a.pace, b.pace), cmp.Compare(b.memory, a.memory), cmp.Compare(a.name, b.name))
}

// byHeldLayers sorts runners by the layers that they hold, so that most of them keep a part of these. Runners that hold
// nothing come last.
func byHeldLayers(a, b Runner) int {
	return cmp.Or(cmp.Compare(a.heldPosition(), b.heldPosition()), byPace(a, b))
}

// planFromScratch plans a group regardless of the layers that its runners hold. In the given order, it assigns as many
// replicas as there is memory for, and then uses the other runners for the layers with the least capacity.
func (p *Planner) planFromScratch(runners []Runner, order func(a, b Runner) int, out map[string]Span) {
	unassigned := slices.Clone(runners)
	slices.SortStableFunc(unassigned, order)
	for i := range unassigned {
		unassigned[i].held = Span{}
	}
	g := newGroupPlan(p.Model, unassigned)
	for requests := plannedRequests; requests >= minRequests; {
		n := p.addReplica(unassigned, requests, g.spans)
		switch {
		case n > 0:
			unassigned = unassigned[n:]
		case len(g.spans) > 0:
			requests = 0
		default:
			// There is not enough memory for a replica with this capacity.
			requests *= requestsReduction
		}
	}
	g.recount()
	g.replicateLayers()
	g.relieveBottlenecks()
	g.copyTo(out)
}

// addReplica assigns one replica to the first runners that suffice for it, each with capacity for a number of requests,
// and returns how many runners it used, or 0 when all of them do not suffice.
func (p *Planner) addReplica(runners []Runner, requests float64, out map[string]Span) (n int) {
	sum := 0
	for sum < p.Model.layers && n < len(runners) {
		sum += p.Model.LayersFor(runners[n].memory, requests)
		n++
	}
	if sum < p.Model.layers {
		return 0
	}
	from := 0
	for _, r := range runners[:n] {
		to := min(from+p.Model.LayersFor(r.memory, requests), p.Model.layers)
		if to > from {
			out[r.name] = NewSpan(from, to)
		}
		from = to
	}
	return n
}
