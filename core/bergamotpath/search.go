package bergamotpath

import (
	"math"
	"slices"

	"bergamotspur/core/bergamotroute"
)

// candidate is a runner that holds layers from (included) to to (excluded).
type candidate struct {
	name      string
	process   string
	address   string
	centre    string
	isAtLimit bool // it takes no request as the first runner of a path
	from      int
	to        int
	layerTime float64 // expected nanoseconds per layer
	maxLayers float64 // number of layers for which the request fits into its memory
}

// search finds the cheapest path over all layers by dynamic programming over the layer indexes at which a range begins
// or ends.
type search struct {
	candidates   []candidate // sorted by first layer
	layers       int
	crossingCost float64 // nanoseconds per change of data centre
}

// partialPath is the cheapest way to run all layers before a boundary.
type partialPath struct {
	cost   float64
	runner int // index of the candidate that runs the last layers, -1 for none
	from   int // index of the boundary at which that candidate begins
}

// run returns the cheapest plan and its cost in nanoseconds; ok is false if the candidates do not cover all layers.
func (s *search) run() (p bergamotroute.Plan, cost float64, ok bool) {
	boundaries := s.boundaries()
	best := make([]partialPath, len(boundaries))
	for i := range best {
		best[i] = partialPath{cost: math.Inf(1), runner: -1}
	}
	if len(boundaries) == 0 || boundaries[0] != 0 || boundaries[len(boundaries)-1] != s.layers {
		return p, 0, false
	}
	best[0].cost = 0
	for i := range boundaries[:len(boundaries)-1] {
		if !math.IsInf(best[i].cost, 1) {
			s.extend(boundaries, best, i)
		}
	}
	last := len(boundaries) - 1
	if math.IsInf(best[last].cost, 1) {
		return p, 0, false
	}
	return s.buildPlan(boundaries, best), best[last].cost, true
}

// extend tries to extend the path to boundary i by every candidate that holds the layer after it.
func (s *search) extend(boundaries []int, best []partialPath, i int) {
	for n, c := range s.candidates {
		if boundaries[i] < c.from {
			return // the candidates are sorted by first layer
		}
		if boundaries[i] >= c.to || i == 0 && c.isAtLimit {
			continue
		}
		base := best[i].cost + float64(hopCost)
		if runner := best[i].runner; runner >= 0 && s.candidates[runner].centre != c.centre {
			base += s.crossingCost
		}
		for j := i + 1; j < len(boundaries) && boundaries[j] <= c.to; j++ {
			count := float64(boundaries[j] - boundaries[i])
			if count > c.maxLayers {
				break
			}
			if cost := base + count*c.layerTime; cost < best[j].cost && !s.hasRunner(best, i, n) {
				best[j] = partialPath{cost: cost, runner: n, from: i}
			}
		}
	}
}

// process returns the process of the first runner of a plan.
func (s *search) process(p bergamotroute.Plan) string {
	for _, c := range s.candidates {
		if c.name == p.Stages()[0].Instance() {
			return c.process
		}
	}
	return ""
}

// hasRunner reports whether the path to boundary i already contains candidate n; a path may use each runner only once.
func (s *search) hasRunner(best []partialPath, i, n int) bool {
	for best[i].runner >= 0 {
		if best[i].runner == n {
			return true
		}
		i = best[i].from
	}
	return false
}

// countCrossings returns how often a plan changes data centres.
func (s *search) countCrossings(p bergamotroute.Plan) (n int) {
	centres := make(map[string]string, len(s.candidates))
	for _, c := range s.candidates {
		centres[c.name] = c.centre
	}
	stages := p.Stages()
	for i := range stages[1:] {
		if centres[stages[i].Instance()] != centres[stages[i+1].Instance()] {
			n++
		}
	}
	return n
}

// boundaries returns the sorted layer indexes at which a range begins or ends.
func (s *search) boundaries() (out []int) {
	for _, c := range s.candidates {
		out = append(out, c.from, c.to)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// buildPlan follows the cheapest path back from the last boundary.
func (s *search) buildPlan(boundaries []int, best []partialPath) bergamotroute.Plan {
	var stages []bergamotroute.Stage
	for i := len(boundaries) - 1; i > 0; i = best[i].from {
		c := s.candidates[best[i].runner]
		stages = append(stages, bergamotroute.NewStage(c.name, c.address, boundaries[best[i].from], boundaries[i]))
	}
	slices.Reverse(stages)
	return bergamotroute.NewPlan(stages...)
}
