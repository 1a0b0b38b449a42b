package bergamotlayout

import "slices"

const (
	// relaxShare is the part of the planned room below which layers are relieved. Every change loads weights and makes
	// some streams wait.
	relaxShare = 0.8
	// relaxGain is the least part of the cost by which one step must lower it.
	relaxGain = 0.01
	// bottleneckWidth is how much more room than the least one the layers have whose holders are relieved first.
	bottleneckWidth = 1.2
	// relaxMost bounds the steps of one plan, and with them its time and its orders.
	relaxMost = 60
)

// step is a change of the ranges of at most two runners.
type step struct {
	runner int // gives up a layer at an end
	other  int // takes the layer, -1 when others hold it already
	up     bool
	layer  int
}

// relax relieves the layers with the least room: their holders give up layers at their ends that others hold as well,
// or pass them along the chain of their neighbours. Repairs and losses leave such bottlenecks behind. Changes are made
// one by one, each the one that lowers the sum of 1/room the most.
func (r *repair) relax() {
	for range relaxMost {
		if r.room[r.bottleneck()] >= relaxShare*planRequests*r.model.request {
			return
		}
		var best []step
		gain := relaxGain * r.cost(0, r.model.layers)
		for _, s := range r.steps() {
			if steps, g := r.follow(s); g > gain {
				best, gain = steps, g
			}
		}
		if best == nil {
			return
		}
		for _, s := range best {
			r.take(s)
		}
	}
}

// follow returns the best chain of steps that begins with s, each runner passing on a layer at its far end, and by how
// much it lowers the cost.
func (r *repair) follow(s step) (best []step, gain float64) {
	var steps []step
	total := 0.0
	for range shiftMost {
		total += r.gain(s)
		r.take(s)
		steps = append(steps, s)
		if best == nil || total > gain {
			best, gain = slices.Clone(steps), total
		}
		next, ok := r.next(s)
		if !ok {
			break
		}
		s = next
	}
	for _, s := range slices.Backward(steps) {
		r.take(s.inverse())
	}
	return best, gain
}

// next returns the best step by which the runner that took a layer passes one on at its far end.
func (r *repair) next(s step) (best step, ok bool) {
	if s.other < 0 {
		return best, false
	}
	span := r.spans[r.runners[s.other].name]
	if span.Len() < 2 {
		return best, false
	}
	gain := 0.0
	for _, c := range r.giveUp(nil, step{runner: s.other, up: s.up, layer: span.end(s.up)}) {
		if g := r.gain(c); !ok || g > gain {
			best, gain, ok = c, g, true
		}
	}
	return best, ok
}

// bottleneck returns the layer with the least room.
func (r *repair) bottleneck() (at int) {
	for i := range r.room {
		if r.room[i] < r.room[at] {
			at = i
		}
	}
	return at
}

// cost returns the sum of 1/room over layers.
func (r *repair) cost(from, to int) (sum float64) {
	for _, room := range r.room[from:to] {
		sum += 1 / max(room, 1)
	}
	return sum
}

// steps returns the changes that may begin a chain: those of the holders of layers with the least room.
func (r *repair) steps() (out []step) {
	narrow := bottleneckWidth * r.room[r.bottleneck()]
	for i, v := range r.runners {
		s := r.spans[v.name]
		if s.Len() > 1 && slices.Min(r.room[s.from:s.to]) <= narrow {
			out = r.giveUp(out, step{runner: i, up: true, layer: s.end(true)})
			out = r.giveUp(out, step{runner: i, layer: s.end(false)})
		}
	}
	return out
}

// giveUp appends the ways to give up a layer: to nobody when it is held twice, or to one of the neighbours.
func (r *repair) giveUp(out []step, s step) []step {
	if r.cover[s.layer] > 1 {
		s.other = -1
		out = append(out, s)
	}
	for n, v := range r.runners {
		span := r.spans[v.name]
		beside := s.up && span.from == s.layer+1 || !s.up && span.to == s.layer
		if beside && n != s.runner && span.Len() > 0 && span.Len() < r.model.Most(v.memory) {
			s.other = n
			out = append(out, s)
		}
	}
	return out
}

// gain returns by how much a step lowers the cost.
func (r *repair) gain(s step) float64 {
	from, to := r.reach(s)
	before := r.cost(from, to)
	r.take(s)
	after := r.cost(from, to)
	r.take(s.inverse())
	return before - after
}

// reach returns the layers whose room a step changes.
func (r *repair) reach(s step) (from, to int) {
	v := r.spans[r.runners[s.runner].name]
	from, to = v.from, v.to
	if s.other >= 0 {
		o := r.spans[r.runners[s.other].name]
		from, to = min(from, o.from), max(to, o.to)
	}
	return from, to
}

// inverse returns the step that undoes a step.
func (s step) inverse() step {
	if s.other < 0 {
		return step{runner: -1, other: s.runner, up: !s.up, layer: s.layer}
	}
	return step{runner: s.other, other: s.runner, up: !s.up, layer: s.layer}
}

// take changes the ranges of a step and the rooms with them.
func (r *repair) take(s step) {
	if s.runner >= 0 {
		r.set(s.runner, r.spans[r.runners[s.runner].name].resize(s.up, -1))
	}
	if s.other >= 0 {
		r.set(s.other, r.spans[r.runners[s.other].name].resize(!s.up, 1))
	}
}

// set gives a runner a range and keeps cover and room up to date.
func (r *repair) set(i int, s Span) {
	v := r.runners[i]
	r.hold(v, r.spans[v.name], -1)
	r.spans[v.name] = s
	r.hold(v, s, 1)
}

// hold adds a runner to the layers of a range, or takes it away.
func (r *repair) hold(v Runner, s Span, sign int) {
	if s.Len() == 0 {
		return
	}
	tokens := r.tokens(v, s.Len())
	for i := s.from; i < min(s.to, r.model.layers); i++ {
		r.cover[i] += sign
		r.room[i] += float64(sign) * tokens
	}
}
