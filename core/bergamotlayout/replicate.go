package bergamotlayout

import (
	"math"
	"slices"
)

const (
	// rebalanceShare is the share of the planned capacity below which a layer is worth moving a runner.
	rebalanceShare = 0.6
	// minMovablePace is the pace, relative to the slowest runner, from which a runner may be moved.
	minMovablePace = 0.5
	// rebalanceMargin is the multiple of the capacity of the bottleneck that the moved runner must leave to its layers.
	rebalanceMargin = 1.3
)

// replicateLayers assigns each runner that still holds nothing to the range of layers with the least capacity.
func (p *groupPlan) replicateLayers() {
	for {
		r, ok := p.largestEmptyRunner()
		if !ok {
			return
		}
		n := max(p.model.LayersFor(r.memory, plannedRequests), 1)
		start, lowest := 0, math.Inf(1)
		for from := 0; from+n <= p.model.layers; from++ {
			if capacity := slices.Min(p.capacity[from:from+n]) + sum(p.capacity[from:from+n])/float64(n); capacity < lowest {
				start, lowest = from, capacity
			}
		}
		p.spans[r.name] = NewSpan(start, start+n)
		p.recount()
	}
}

// rebalance moves one runner whose layers others hold as well to the layers with the least capacity, if these have much
// less than planned and less than remains for the runner's own layers. Repairs leave such bottlenecks behind.
func (p *groupPlan) rebalance() {
	lowest := p.capacity[p.bottleneck()]
	if lowest >= rebalanceShare*plannedRequests*p.model.requestTokens {
		return
	}
	slowest := 0.0
	for _, r := range p.runners {
		slowest = max(slowest, r.pace)
	}
	best, highest := -1, lowest*rebalanceMargin
	for i, r := range p.runners {
		// Moving a fast runner would slow down every path that led over it.
		if remaining, ok := p.capacityWithout(r); ok && remaining > highest && r.pace >= minMovablePace*slowest {
			best, highest = i, remaining
		}
	}
	if best < 0 {
		return
	}
	r := p.runners[best]
	delete(p.spans, r.name)
	p.recount()
	p.replicateLayers()
}

// capacityWithout returns the least capacity that the layers of a runner have without it; ok is false unless others hold
// all of them.
func (p *groupPlan) capacityWithout(r Runner) (capacity float64, ok bool) {
	s := p.spans[r.name]
	if s.Len() == 0 {
		return 0, false
	}
	capacity = math.Inf(1)
	own := p.usableCapacity(r, s)
	for i := s.from; i < min(s.to, len(p.holders)); i++ {
		if p.holders[i] < 2 {
			return 0, false
		}
		capacity = min(capacity, p.capacity[i]-own)
	}
	return capacity, true
}

func sum(list []float64) (s float64) {
	for _, v := range list {
		s += v
	}
	return s
}
