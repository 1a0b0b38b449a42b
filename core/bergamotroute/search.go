package bergamotroute

import (
	"math"
	"slices"
)

const (
	// sampleSize is the number of targets of a group that are compared. If entries that see the same outdated report
	// compared all targets, they would all choose the same one.
	sampleSize = 3
	// maxPrefixSaving is the share of a token's base time that a fully cached prompt is assumed to save. It is small, since
	// the index of prefixes may be wrong and must not outweigh load.
	maxPrefixSaving = 0.5
)

// search holds the reusable buffers of one path search. The nodes of its graph are pairs of a layer boundary and a data
// centre.
type search struct {
	cost        []float64          // by node, time of the cheapest path to it in microseconds
	via         []pathStage        // by node, last stage of that path
	best        []*target          // by group, target with the lowest cost
	layerCost   []float64          // by group, cost of one layer on that target in microseconds
	startCost   []float64          // by data centre, lowest time at which a stage can begin there
	saving      []float64          // by group, time of one layer that a cached prefix saves in the first stage
	cachedShare map[string]float64 // by instance, share of the blocks of the prompt that it has cached
	blocks      []uint64
	recordShare func(instance string, cachedShare float64) // adds to cachedShare
	prevCentre  []int                                      // by data centre, centre of the previous stage on the path with the start cost
	path        []pathStage
}

// pathStage is a stage of a path under construction.
type pathStage struct {
	target   *target
	boundary int // index of the boundary at which the stage begins
	centre   int // data centre of the previous stage
	from, to int
}

// run finds the cheapest path and returns its cost in microseconds; ok is false if no path covers all layers.
func (s *search) run(r *Router, x *index, c *candidates, q Query) (us float64, ok bool) {
	x.decay = math.Exp(-float64(r.Clock.Now().Sub(x.built)) / float64(reportTimeConstant))
	s.chooseTargets(r, x, c, q)
	centres := len(x.centres)
	s.cost = resize(s.cost, len(c.boundaries)*centres, math.Inf(1))
	s.via = resize(s.via, len(c.boundaries)*centres, pathStage{})
	s.startCost, s.prevCentre = resize(s.startCost, centres, 0), resize(s.prevCentre, centres, 0)
	s.cost[x.homeCentre] = 0
	for n, boundary := range c.boundaries[:len(c.boundaries)-1] {
		if !s.computeStartCosts(x, n) {
			continue
		}
		for g, group := range c.groups {
			if group.from > boundary {
				break
			}
			if group.to <= boundary || s.best[g] == nil {
				continue
			}
			cost := s.startCost[group.centre] + s.layerCost[g]*float64(group.to-boundary)
			if boundary == 0 {
				cost -= s.saving[g] * float64(group.to)
			}
			to := indexOf(c.boundaries, group.to)*centres + group.centre
			if cost < s.cost[to] {
				s.cost[to] = cost
				s.via[to] = pathStage{s.best[g], n, s.prevCentre[group.centre], boundary, group.to}
			}
		}
	}
	return s.tracePath(c, centres)
}

// computeStartCosts finds, for each data centre, the lowest cost at which a stage can begin there at a boundary. It
// reports whether any path reaches the boundary.
func (s *search) computeStartCosts(x *index, boundary int) (reached bool) {
	nodes := s.cost[boundary*len(x.centres):][:len(x.centres)]
	for to := range x.centres {
		s.startCost[to] = math.Inf(1)
		for from, cost := range nodes {
			if c := cost + x.links[from][to]; c < s.startCost[to] {
				s.startCost[to], s.prevCentre[to], reached = c, from, true
			}
		}
	}
	return reached
}

// tracePath follows the cheapest path back from the last layer and stores its stages in reverse order.
func (s *search) tracePath(c *candidates, centres int) (us float64, ok bool) {
	last := (len(c.boundaries) - 1) * centres
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
		st := s.via[node]
		s.path = append(s.path, st)
		if st.from == 0 {
			return us, true
		}
		node = st.boundary*centres + st.centre
	}
}

// plan returns the path that the last run found.
func (s *search) plan(x *index) Plan {
	stages := make([]Stage, 0, len(s.path))
	tokenTime := s.tokenTime(x)
	for n := len(s.path) - 1; n >= 0; n-- {
		st := s.path[n]
		stage := NewStage(st.target.name, st.target.address, st.from, st.to)
		stage.share = st.time(x) / tokenTime
		stages = append(stages, stage)
	}
	return Plan{stages: stages}
}

// tokenTime returns the expected time of one token on the path that the last run found, in microseconds. Unlike the cost
// of the path, it does not include the weights of path selection.
func (s *search) tokenTime(x *index) (us float64) {
	for _, st := range s.path {
		us += st.time(x) + x.links[st.centre][st.target.centreIndex]
	}
	return us
}

// time returns the time that a token spends in the stage in microseconds.
func (st pathStage) time(x *index) float64 {
	return st.target.curve.LayerTime(st.target.batch(x)+1) * float64(st.to-st.from)
}

// chooseTargets chooses a target of each group.
func (s *search) chooseTargets(r *Router, x *index, c *candidates, q Query) {
	s.best, s.layerCost = resize(s.best, len(c.groups), nil), resize(s.layerCost, len(c.groups), 0)
	s.saving = resize(s.saving, len(c.groups), 0)
	s.findCached(r, q)
	for n, g := range c.groups {
		if g.from == 0 && len(s.cachedShare) > 0 {
			s.considerCached(n, g, x, q)
		}
		if len(g.members) > sampleSize {
			for range sampleSize {
				s.consider(n, g.members[r.Random.IntN(len(g.members))], g.from == 0, x, q)
			}
			if s.best[n] != nil {
				continue
			}
		}
		for _, t := range g.members {
			s.consider(n, t, g.from == 0, x, q)
		}
	}
}

// consider makes a target the best of group n if it costs less than the best one so far.
func (s *search) consider(n int, t *target, first bool, x *index, q Query) {
	if len(q.Avoid) > 0 && q.Avoid[t.name] {
		return
	}
	cost := t.cost(x)
	saving := 0.0
	if len(s.cachedShare) > 0 && first {
		saving = maxPrefixSaving * s.cachedShare[t.name] * t.curve.Base()
	}
	if s.best[n] == nil || cost-saving < s.layerCost[n]-s.saving[n] {
		s.best[n], s.layerCost[n], s.saving[n] = t, cost, saving
	}
}

// findCached finds the instances that have the beginning of the prompt in their prefix caches.
func (s *search) findCached(r *Router, q Query) {
	clear(s.cachedShare)
	if r.Affinity == nil || q.Prompt == "" {
		return
	}
	if s.cachedShare == nil {
		s.cachedShare = map[string]float64{}
		s.recordShare = func(instance string, cachedShare float64) { s.cachedShare[instance] = cachedShare }
	}
	s.blocks = r.Affinity.Blocks(s.blocks[:0], q.Pipeline.Model().Name(), q.Prompt)
	r.Affinity.Holders(s.blocks, s.recordShare)
}

// considerCached considers the members of a group that have the beginning of the prompt in their caches, which a random
// sample would miss.
func (s *search) considerCached(n int, g *group, x *index, q Query) {
	for name := range s.cachedShare {
		if t := x.targets[name]; t != nil && slices.Contains(g.members, t) {
			s.consider(n, t, true, x, q)
		}
	}
}

// indexOf returns the index of a layer in the sorted boundaries by binary search.
func indexOf(boundaries []int, layer int) int {
	low, high := 0, len(boundaries)-1
	for low < high {
		if mid := (low + high) / 2; boundaries[mid] < layer {
			low = mid + 1
		} else {
			high = mid
		}
	}
	return low
}

// resize returns a slice of n elements with the given value, which reuses the memory of s if possible.
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
