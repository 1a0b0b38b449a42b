package bergamotlayout

import "slices"

// shiftCost divides the score of a move for each runner that is shifted by it. A layer that is given up must wait for the
// streams that pass through it, 3 to 6 s in which the data centre has no path, while a runner that only takes a layer has
// it after a fraction of a second. What becomes narrow by that is relaxed afterwards.
const shiftCost = 10.0

// shiftMost bounds how many runners one move shifts, and with it the time of the search.
const shiftMost = 6

// repair closes gaps in the copies of one group and finds work for runners that hold nothing.
type repair struct {
	model   Model
	runners []Runner
	spans   map[string]Span
	cover   []int     // copies of each layer
	room    []float64 // token-layers of memory for requests that the holders of each layer have
}

func newRepair(m Model, runners []Runner) *repair {
	r := &repair{model: m, runners: runners, spans: map[string]Span{}}
	for _, v := range runners {
		if held := v.held.clip(m.layers); held.Len() > 0 {
			r.spans[v.name] = held
		}
	}
	r.count()
	return r
}

// count computes cover and room from the spans.
func (r *repair) count() {
	r.cover, r.room = make([]int, r.model.layers), make([]float64, r.model.layers)
	for _, v := range r.runners {
		r.hold(v, r.spans[v.name], 1)
	}
}

// complete tells whether every layer is held.
func (r *repair) complete() bool { return r.gap() < 0 }

// closeGaps closes the gaps and tells whether none is left; a group that holds nothing cannot be mended.
func (r *repair) closeGaps() bool {
	if len(r.spans) == 0 {
		return false
	}
	r.fill()
	r.extend()
	return r.complete()
}

func (r *repair) copyTo(out map[string]Span) {
	for name, s := range r.spans {
		out[name] = s
	}
}

// gap returns the first layer that no runner holds, -1 when there is none.
func (r *repair) gap() int { return slices.Index(r.cover, 0) }

// gapEnd returns the layer after the gap that begins at a layer.
func (r *repair) gapEnd(from int) int {
	to := from
	for to < len(r.cover) && r.cover[to] == 0 {
		to++
	}
	return to
}

// empty returns the runner with the most memory that holds nothing and may hold a layer.
func (r *repair) empty() (v Runner, ok bool) {
	for _, c := range r.runners {
		if r.spans[c.name].Len() == 0 && r.model.Most(c.memory) > 0 && (!ok || c.memory > v.memory) {
			v, ok = c, true
		}
	}
	return v, ok
}

// fill gives gaps to runners that hold nothing.
func (r *repair) fill() {
	for {
		from := r.gap()
		v, ok := r.empty()
		if from < 0 || !ok {
			return
		}
		r.spans[v.name] = NewSpan(from, min(r.gapEnd(from), from+r.model.Most(v.memory)))
		r.count()
	}
}

// extend closes gaps layer by layer with the runners beside them. A runner that is full shifts by one layer when its
// far end is held twice or its neighbour there can take that layer in turn, so that a gap spreads over the whole
// chain without any runner leaving its place.
func (r *repair) extend() {
	for {
		from := r.gap()
		if from < 0 {
			return
		}
		best, found := move{}, false
		for i := range r.runners {
			for _, m := range []move{{runner: i, layer: from, up: true}, {runner: i, layer: r.gapEnd(from) - 1}} {
				if r.weigh(&m, 0) && (!found || m.score > best.score) {
					best, found = m, true
				}
			}
		}
		if !found {
			return
		}
		r.apply(best)
		r.count()
	}
}

// move is a runner that takes one layer at an end of its range.
type move struct {
	runner int
	layer  int  // the layer that it takes
	up     bool // the layer follows the range; otherwise it precedes it
	score  float64
	then   *move // the move that takes the layer which this runner gives up at its other end
	drops  bool  // the runner gives up the layer at its other end
}

// weigh finds out whether a move is possible and how good it is: the more memory it leaves for requests and the fewer
// other runners it shifts, the better.
func (r *repair) weigh(m *move, depth int) bool {
	v := r.runners[m.runner]
	s := r.spans[v.name]
	if s.Len() == 0 || depth > shiftMost || m.up && s.to != m.layer || !m.up && s.from-1 != m.layer {
		return false
	}
	if s.Len() < r.model.Most(v.memory) {
		m.score = r.tokens(v, s.Len()+1)
	}
	shift := *m
	if r.weighShift(&shift, v, s, depth) && shift.score > m.score {
		*m = shift
	}
	return m.score > 0
}

// weighShift weighs a move by which the runner gives up the layer at its other end.
func (r *repair) weighShift(m *move, v Runner, s Span, depth int) bool {
	m.drops = true
	m.score = 0
	end := s.to - 1
	if m.up {
		end = s.from
	}
	if r.cover[end] > 1 {
		m.score = r.tokens(v, s.Len()) / shiftCost
		return true
	}
	for i := range r.runners {
		next := move{runner: i, layer: end, up: m.up}
		if i != m.runner && r.weigh(&next, depth+1) && (m.then == nil || next.score > m.then.score) {
			m.then = &next
			m.score = next.score / shiftCost
		}
	}
	return m.then != nil
}

// tokens returns for how many tokens of requests a runner has memory beside its layers.
func (r *repair) tokens(v Runner, layers int) float64 {
	return (v.memory - float64(layers)*r.model.layer) / (r.model.token * float64(layers))
}

func (r *repair) apply(m move) {
	name := r.runners[m.runner].name
	s := r.spans[name].resize(m.up, 1)
	if m.drops {
		s = s.resize(!m.up, -1)
	}
	r.spans[name] = s
	if m.then != nil {
		r.apply(*m.then)
	}
}
