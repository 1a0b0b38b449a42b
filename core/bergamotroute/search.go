package bergamotroute

import (
	"math"
	"slices"
)

const (
	// sample is how many targets of a group are compared. Looking at all of them makes entries that see the same
	// old report choose the same target.
	sample = 3
	// embed is the share of a token's base time that a whole cached prompt is worth. It is small, since a guess may be
	// wrong and must not outweigh load.
	embed = 0.5
)

// search holds the buffers of one choice, so that they are reused.
type search struct {
	cost  []float64 // by bound and data centre
	from  []step    // how that node is reached
	best  []*target // of each group
	layer []float64 // time of one layer on it
	in    []float64 // by data centre, cheapest way to begin a stage there
	save  []float64 // time of one layer that a cached prefix saves on it at the first stage
	share map[string]float64
	block []uint64
	note  func(instance string, share float64)
	prev  []int
	path  []step
}

// step is a stage of a path under construction.
type step struct {
	target   *target
	bound    int // index of the bound at which the stage begins
	centre   int // data centre of the stage before
	from, to int
}

// run finds the cheapest path over nodes of layer bound and data centre, and returns its time in microseconds.
func (s *search) run(r *Router, x *index, c *chart, w Want) (us float64, ok bool) {
	x.decay = math.Exp(-float64(r.Clock.Now().Sub(x.built)) / float64(trust))
	s.choose(r, x, c, w)
	centres := len(x.centres)
	s.cost = resize(s.cost, len(c.bounds)*centres, math.Inf(1))
	s.from = resize(s.from, len(c.bounds)*centres, step{})
	s.in, s.prev = resize(s.in, centres, 0), resize(s.prev, centres, 0)
	s.cost[x.home] = 0
	for n, bound := range c.bounds[:len(c.bounds)-1] {
		if !s.enter(x, n) {
			continue
		}
		for g, group := range c.groups {
			if group.from > bound {
				break
			}
			if group.to <= bound || s.best[g] == nil {
				continue
			}
			cost := s.in[group.centre] + s.layer[g]*float64(group.to-bound)
			if bound == 0 {
				cost -= s.save[g] * float64(group.to)
			}
			to := indexOf(c.bounds, group.to)*centres + group.centre
			if cost < s.cost[to] {
				s.cost[to] = cost
				s.from[to] = step{s.best[g], n, s.prev[group.centre], bound, group.to}
			}
		}
	}
	return s.finish(c, centres)
}

// enter finds the cheapest data centre from which to begin a stage in each data centre at a bound.
func (s *search) enter(x *index, bound int) (reached bool) {
	nodes := s.cost[bound*len(x.centres):][:len(x.centres)]
	for to := range x.centres {
		s.in[to] = math.Inf(1)
		for from, cost := range nodes {
			if c := cost + x.links[from][to]; c < s.in[to] {
				s.in[to], s.prev[to], reached = c, from, true
			}
		}
	}
	return reached
}

func (s *search) finish(c *chart, centres int) (us float64, ok bool) {
	last := (len(c.bounds) - 1) * centres
	end := last
	for n := last; n < last+centres; n++ {
		if s.cost[n] < s.cost[end] {
			end = n
		}
	}
	us = s.cost[end]
	if math.IsInf(us, 1) {
		return 0, false
	}
	s.path = s.path[:0]
	for node := end; ; {
		st := s.from[node]
		s.path = append(s.path, st)
		if st.from == 0 {
			return us, true
		}
		node = st.bound*centres + st.centre
	}
}

// plan returns the path of the last run.
func (s *search) plan(x *index) Plan {
	stages := make([]Stage, 0, len(s.path))
	total := s.total(x)
	for n := len(s.path) - 1; n >= 0; n-- {
		st := s.path[n]
		stage := NewStage(st.target.name, st.target.address, st.from, st.to)
		stage.share = st.time(x) / total
		stages = append(stages, stage)
	}
	return Plan{stages: stages}
}

// total returns the time of one token on the path of the last run in microseconds, without the weights of a choice.
func (s *search) total(x *index) (us float64) {
	for _, st := range s.path {
		us += st.time(x) + x.links[st.centre][st.target.place]
	}
	return us
}

// time returns the time that a token spends at the stage in microseconds.
func (st step) time(x *index) float64 {
	return st.target.curve.Step(st.target.batch(x)+1) * float64(st.to-st.from)
}

// choose picks a target of each group.
func (s *search) choose(r *Router, x *index, c *chart, w Want) {
	s.best, s.layer = resize(s.best, len(c.groups), nil), resize(s.layer, len(c.groups), 0)
	s.save = resize(s.save, len(c.groups), 0)
	s.cached(r, w)
	for n, g := range c.groups {
		if g.from == 0 && len(s.share) > 0 {
			s.prefer(n, g, x, w)
		}
		if len(g.members) > sample {
			for range sample {
				s.offer(n, g.members[r.Random.IntN(len(g.members))], g.from == 0, x, w)
			}
			if s.best[n] != nil {
				continue
			}
		}
		for _, t := range g.members {
			s.offer(n, t, g.from == 0, x, w)
		}
	}
}

func (s *search) offer(n int, t *target, first bool, x *index, w Want) {
	if len(w.Avoid) > 0 && w.Avoid[t.name] {
		return
	}
	cost := t.cost(x)
	save := 0.0
	if len(s.share) > 0 && first {
		save = embed * s.share[t.name] * t.curve.Base()
	}
	if s.best[n] == nil || cost-save < s.layer[n]-s.save[n] {
		s.best[n], s.layer[n], s.save[n] = t, cost, save
	}
}

// cached finds the instances that have the beginning of the prompt.
func (s *search) cached(r *Router, w Want) {
	clear(s.share)
	if r.Affinity == nil || w.Prompt == "" {
		return
	}
	if s.share == nil {
		s.share = map[string]float64{}
		s.note = func(instance string, share float64) { s.share[instance] = share }
	}
	s.block = r.Affinity.Blocks(s.block[:0], w.Pipeline.Model().Name(), w.Prompt)
	r.Affinity.Holders(s.block, s.note)
}

// prefer offers the members of a group that have the beginning of the prompt, which a sample would miss.
func (s *search) prefer(n int, g *group, x *index, w Want) {
	for name := range s.share {
		if t := x.targets[name]; t != nil && slices.Contains(g.members, t) {
			s.offer(n, t, true, x, w)
		}
	}
}

func indexOf(bounds []int, layer int) int {
	low, high := 0, len(bounds)-1
	for low < high {
		if mid := (low + high) / 2; bounds[mid] < layer {
			low = mid + 1
		} else {
			high = mid
		}
	}
	return low
}

func resize[T any](s []T, n int, fill T) []T {
	if cap(s) < n {
		s = make([]T, n)
	}
	s = s[:n]
	for i := range s {
		s[i] = fill
	}
	return s
}
