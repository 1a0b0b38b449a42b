package bergamotlayout

import (
	"math"
	"slices"
)

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
		if v.held.Len() > 0 {
			r.spans[v.name] = v.held
		}
	}
	r.count()
	return r
}

// count computes cover and room from the spans.
func (r *repair) count() {
	r.cover, r.room = make([]int, r.model.layers), make([]float64, r.model.layers)
	for _, v := range r.runners {
		s := r.spans[v.name]
		if s.Len() == 0 {
			continue
		}
		tokens := (v.memory - float64(s.Len())*r.model.layer) / (r.model.token * float64(s.Len()))
		for i := s.from; i < min(s.to, r.model.layers); i++ {
			r.cover[i]++
			r.room[i] += tokens
		}
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

// extend lets the neighbours of a gap take its layers one by one, the one with the most memory left first.
func (r *repair) extend() {
	for {
		from := r.gap()
		if from < 0 {
			return
		}
		to := r.gapEnd(from)
		name, best, span := "", 0.0, Span{}
		for _, v := range r.runners {
			s := r.spans[v.name]
			if s.Len() == 0 || s.Len() >= r.model.Most(v.memory) || s.to != from && s.from != to {
				continue
			}
			if left := v.memory / float64(s.Len()+1); left > best {
				name, best = v.name, left
				if span = NewSpan(s.from, s.to+1); s.to != from {
					span = NewSpan(s.from-1, s.to)
				}
			}
		}
		if name == "" {
			return
		}
		r.spans[name] = span
		r.count()
	}
}

// reinforce gives each runner that still holds nothing the range of layers whose holders have the least room.
func (r *repair) reinforce(copies int) {
	for {
		v, ok := r.empty()
		if !ok {
			return
		}
		n := max(min(r.share(v, copies), r.model.Most(v.memory)), 1)
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

// share returns the layers that are proportional to the memory of a runner.
func (r *repair) share(v Runner, copies int) int {
	total := 0.0
	for _, o := range r.runners {
		total += o.memory
	}
	return int(math.Round(float64(copies*r.model.layers) * v.memory / total))
}

func sum(list []float64) (s float64) {
	for _, v := range list {
		s += v
	}
	return s
}
