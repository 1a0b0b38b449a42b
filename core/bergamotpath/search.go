package bergamotpath

import (
	"math"
	"slices"

	"bergamotspur/core/bergamotroute"
)

// candidate is a runner that holds layers from (included) to to (excluded).
type candidate struct {
	name    string
	address string
	centre  string
	from    int
	to      int
	layer   float64 // expected nanoseconds of one layer
	left    float64 // layers of this request for which it has memory
}

// search finds the cheapest cover of all layers by dynamic programming over the layers at which a range begins or
// ends.
type search struct {
	candidates []candidate // in the order of their first layers
	layers     int
	cross      float64 // nanoseconds of a change of the data centre
}

// step is the cheapest way to have run all layers before a point.
type step struct {
	cost float64
	by   int // index of the candidate that ran the last layers
	from int // index of the point where it began
}

func (s *search) run() (p bergamotroute.Plan, cost float64, ok bool) {
	points := s.points()
	best := make([]step, len(points))
	for i := range best {
		best[i] = step{cost: math.Inf(1), by: -1}
	}
	if len(points) == 0 || points[0] != 0 || points[len(points)-1] != s.layers {
		return p, 0, false
	}
	best[0].cost = 0
	for i := range points[:len(points)-1] {
		if !math.IsInf(best[i].cost, 1) {
			s.extend(points, best, i)
		}
	}
	last := len(points) - 1
	if math.IsInf(best[last].cost, 1) {
		return p, 0, false
	}
	return s.plan(points, best), best[last].cost, true
}

// extend tries every candidate that can run layers from a point on.
func (s *search) extend(points []int, best []step, i int) {
	for n, c := range s.candidates {
		if points[i] < c.from {
			return // the candidates are in the order of their first layers
		}
		if points[i] >= c.to {
			continue
		}
		base := best[i].cost + float64(hopTime)
		if by := best[i].by; by >= 0 && s.candidates[by].centre != c.centre {
			base += s.cross
		}
		for j := i + 1; j < len(points) && points[j] <= c.to; j++ {
			count := float64(points[j] - points[i])
			if count > c.left {
				break
			}
			if cost := base + count*c.layer; cost < best[j].cost && !s.uses(best, i, n) {
				best[j] = step{cost: cost, by: n, from: i}
			}
		}
	}
}

// uses tells whether the way to a point already has the candidate: a runner may not appear twice in a path.
func (s *search) uses(best []step, i, n int) bool {
	for best[i].by >= 0 {
		if best[i].by == n {
			return true
		}
		i = best[i].from
	}
	return false
}

// crossings returns how often a plan changes the data centre.
func (s *search) crossings(p bergamotroute.Plan) (n int) {
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

func (s *search) points() (out []int) {
	for _, c := range s.candidates {
		out = append(out, c.from, c.to)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

func (s *search) plan(points []int, best []step) bergamotroute.Plan {
	var stages []bergamotroute.Stage
	for i := len(points) - 1; i > 0; i = best[i].from {
		c := s.candidates[best[i].by]
		stages = append(stages, bergamotroute.NewStage(c.name, c.address, points[best[i].from], points[i]))
	}
	slices.Reverse(stages)
	return bergamotroute.NewPlan(stages...)
}
