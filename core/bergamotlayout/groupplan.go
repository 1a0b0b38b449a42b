package bergamotlayout

import "slices"

// shiftPenalty divides the score of a move for each runner that it shifts. A layer that is given up must wait for the
// streams that pass through it, 3 to 6 s in which the data centre has no path, while a runner that only takes a layer has
// it after a fraction of a second. The bottlenecks that this leaves are relieved afterwards.
const shiftPenalty = 10.0

// maxShifts bounds how many runners one move or transfer chain shifts, and with it the time of the search.
const maxShifts = 6

// groupPlan is the plan of one group of runners while it is computed.
type groupPlan struct {
	model    Model
	runners  []Runner
	spans    map[string]Span // by the name of the runner
	holders  []int           // number of runners that hold each layer
	capacity []float64       // tokens of requests that the holders of each layer have memory for
}

func newGroupPlan(m Model, runners []Runner) *groupPlan {
	p := &groupPlan{model: m, runners: runners, spans: map[string]Span{}}
	for _, r := range runners {
		if held := r.held.clip(m.layers); held.Len() > 0 {
			p.spans[r.name] = held
		}
	}
	p.recount()
	return p
}

// recount computes holders and capacity from the spans.
func (p *groupPlan) recount() {
	p.holders, p.capacity = make([]int, p.model.layers), make([]float64, p.model.layers)
	for _, r := range p.runners {
		p.updateHolders(r, p.spans[r.name], 1)
	}
}

// isComplete reports whether every layer is held.
func (p *groupPlan) isComplete() bool { return p.firstGap() < 0 }

// closeGaps assigns the layers that no runner holds and reports whether none is left. It does nothing for a group that
// holds no layers at all, which needs a plan from scratch.
func (p *groupPlan) closeGaps() bool {
	if len(p.spans) == 0 {
		return false
	}
	p.fillGaps()
	p.extendIntoGaps()
	return p.isComplete()
}

func (p *groupPlan) copyTo(out map[string]Span) {
	for name, s := range p.spans {
		out[name] = s
	}
}

// firstGap returns the first layer that no runner holds, or -1 if there is none.
func (p *groupPlan) firstGap() int { return slices.Index(p.holders, 0) }

// gapEnd returns the layer after the gap that starts at a layer.
func (p *groupPlan) gapEnd(from int) int {
	to := from
	for to < len(p.holders) && p.holders[to] == 0 {
		to++
	}
	return to
}

// largestEmptyRunner returns the runner with the most memory among those that hold nothing and have memory for a layer.
func (p *groupPlan) largestEmptyRunner() (r Runner, ok bool) {
	for _, c := range p.runners {
		if p.spans[c.name].Len() == 0 && p.model.MaxLayers(c.memory) > 0 && (!ok || c.memory > r.memory) {
			r, ok = c, true
		}
	}
	return r, ok
}

// fillGaps assigns gaps to runners that hold nothing.
func (p *groupPlan) fillGaps() {
	for {
		from := p.firstGap()
		r, ok := p.largestEmptyRunner()
		if from < 0 || !ok {
			return
		}
		p.spans[r.name] = NewSpan(from, min(p.gapEnd(from), from+p.model.MaxLayers(r.memory)))
		p.recount()
	}
}

// extendIntoGaps closes gaps layer by layer by extending the ranges next to them. A full runner shifts its range by one
// layer if another runner holds the layer at its far end or its neighbour there can take that layer in turn. This spreads
// a gap over a chain of runners without any of them leaving its position.
func (p *groupPlan) extendIntoGaps() {
	for {
		from := p.firstGap()
		if from < 0 {
			return
		}
		best, found := move{}, false
		for i := range p.runners {
			for _, m := range []move{{runner: i, layer: from, up: true}, {runner: i, layer: p.gapEnd(from) - 1}} {
				if p.evaluate(&m, 0) && (!found || m.score > best.score) {
					best, found = m, true
				}
			}
		}
		if !found {
			return
		}
		p.applyMove(best)
		p.recount()
	}
}

// move extends the range of a runner by one layer at one end.
type move struct {
	runner  int  // index of the runner
	layer   int  // layer that the runner takes
	up      bool // the layer follows the range; otherwise it precedes it
	score   float64
	next    *move // takes the layer that this runner gives up at its other end
	isShift bool  // the runner gives up the layer at its other end
}

// evaluate reports whether a move is possible and sets its score, which is higher the more memory the move leaves for
// requests and the fewer other runners it shifts.
func (p *groupPlan) evaluate(m *move, depth int) bool {
	r := p.runners[m.runner]
	s := p.spans[r.name]
	if s.Len() == 0 || depth > maxShifts || m.up && s.to != m.layer || !m.up && s.from-1 != m.layer {
		return false
	}
	if s.Len() < p.model.MaxLayers(r.memory) {
		m.score = p.tokenCapacity(r, s.Len()+1)
	}
	shift := *m
	if p.evaluateShift(&shift, r, s, depth) && shift.score > m.score {
		*m = shift
	}
	return m.score > 0
}

// evaluateShift is like evaluate for a move by which the runner gives up the layer at its other end.
func (p *groupPlan) evaluateShift(m *move, r Runner, s Span, depth int) bool {
	m.isShift = true
	m.score = 0
	end := s.to - 1
	if m.up {
		end = s.from
	}
	if p.holders[end] > 1 {
		m.score = p.tokenCapacity(r, s.Len()) / shiftPenalty
		return true
	}
	for i := range p.runners {
		n := move{runner: i, layer: end, up: m.up}
		if i != m.runner && p.evaluate(&n, depth+1) && (m.next == nil || n.score > m.next.score) {
			m.next = &n
			m.score = n.score / shiftPenalty
		}
	}
	return m.next != nil
}

// tokenCapacity returns the number of tokens of requests for which a runner that holds a number of layers has memory.
func (p *groupPlan) tokenCapacity(r Runner, layers int) float64 {
	return (r.memory - float64(layers)*p.model.layerMB) / (p.model.tokenMB * float64(layers))
}

// requestTime is roughly how long a request takes, in seconds.
const requestTime = 3.0

// usableCapacity is tokenCapacity for a runner that holds a range. One that begins with the first layer is the first of its paths, where a
// runner that limits its requests has no use for the rest of its memory.
func (p *groupPlan) usableCapacity(r Runner, s Span) float64 {
	capacity := p.tokenCapacity(r, s.Len())
	if r.hasRate && s.from == 0 {
		return min(capacity, r.rate*requestTime*p.model.requestTokens)
	}
	return capacity
}

func (p *groupPlan) applyMove(m move) {
	name := p.runners[m.runner].name
	s := p.spans[name].resize(m.up, 1)
	if m.isShift {
		s = s.resize(!m.up, -1)
	}
	p.spans[name] = s
	if m.next != nil {
		p.applyMove(*m.next)
	}
}
