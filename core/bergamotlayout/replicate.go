package bergamotlayout

import (
	"math"
	"slices"
)

const (
	bottleneckShare = 0.6 // part of the planned room below which layers are worth a move
	slowShare       = 0.5 // pace relative to the slowest runner from which a runner may be moved
	rebalanceGain   = 1.3 // how much more room the moved runner must leave behind than there is at the bottleneck
)

// replicate gives each runner that still holds nothing the range of layers whose holders have the least room.
func (r *repair) replicate() {
	for {
		v, ok := r.empty()
		if !ok {
			return
		}
		n := max(r.model.Fit(v.memory, planRequests), 1)
		at, least := 0, math.Inf(1)
		for from := 0; from+n <= r.model.layers; from++ {
			if room := slices.Min(r.room[from:from+n]) + sum(r.room[from:from+n])/float64(n); room < least {
				at, least = from, room
			}
		}
		r.spans[v.name] = NewSpan(at, at+n)
		r.count()
	}
}

// rebalance moves one runner whose layers others hold as well to the layers with the least room, if these have much less
// than planned and less than its own layers keep. Repairs leave such bottlenecks behind.
func (r *repair) rebalance() {
	least := r.room[r.bottleneck()]
	if least >= bottleneckShare*planRequests*r.model.request {
		return
	}
	slowest := 0.0
	for _, v := range r.runners {
		slowest = max(slowest, v.pace)
	}
	best, most := -1, least*rebalanceGain
	for i, v := range r.runners {
		// A fast runner that moves makes every path slower that led over it.
		if left, ok := r.without(v); ok && left > most && v.pace >= slowShare*slowest {
			best, most = i, left
		}
	}
	if best < 0 {
		return
	}
	v := r.runners[best]
	delete(r.spans, v.name)
	r.count()
	r.replicate()
}

// without returns the least room that the layers of a runner have without it, and whether others hold all of them.
func (r *repair) without(v Runner) (room float64, ok bool) {
	s := r.spans[v.name]
	if s.Len() == 0 {
		return 0, false
	}
	room = math.Inf(1)
	own := r.tokens(v, s.Len())
	for i := s.from; i < min(s.to, len(r.cover)); i++ {
		if r.cover[i] < 2 {
			return 0, false
		}
		room = min(room, r.room[i]-own)
	}
	return room, true
}

func sum(list []float64) (s float64) {
	for _, v := range list {
		s += v
	}
	return s
}
