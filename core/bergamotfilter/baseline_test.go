package bergamotfilter_test

import (
	"time"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotroute"
)

// pathSelector is the part of the router that the load tests use.
type pathSelector interface {
	Route(w bergamotroute.Query) (p bergamotroute.Plan, ok bool)
	Release(p bergamotroute.Plan)
	Observe(p bergamotroute.Plan, token time.Duration)
}

// baselineRouter selects one of the machines that hold the next layer, by a simple rule, until all layers are covered.
type baselineRouter struct {
	pick     func(list []*machine) *machine
	cluster  *cluster
	inFlight map[string]int
	nextTurn map[int]int
}

func newBaselineRouter(s *cluster, rule string) *baselineRouter {
	w := &baselineRouter{cluster: s, inFlight: map[string]int{}, nextTurn: map[int]int{}}
	w.pick = map[string]func([]*machine) *machine{"random": w.random, "robin": w.roundRobin, "least": w.leastInFlight}[rule]
	return w
}

func (w *baselineRouter) Route(want bergamotroute.Query) (p bergamotroute.Plan, ok bool) {
	var stages []bergamotroute.Stage
	for layer := 0; layer < want.Pipeline.Model().Layers(); {
		var list []*machine
		for _, m := range w.cluster.order {
			i, _ := want.Fleet.Instance(m.spec.Name)
			if m.from <= layer && layer < m.to && i.Usable() && !want.Avoid[m.spec.Name] {
				list = append(list, m)
			}
		}
		if len(list) == 0 {
			return bergamotroute.Plan{}, false
		}
		m := w.pick(list)
		stages = append(stages, bergamotroute.NewStage(m.spec.Name, m.spec.Name, layer, m.to))
		layer = m.to
	}
	for _, s := range stages {
		w.inFlight[s.Instance()]++
	}
	return bergamotroute.NewPlan(stages...), true
}

func (w *baselineRouter) Release(p bergamotroute.Plan) {
	for _, s := range p.Stages() {
		w.inFlight[s.Instance()]--
	}
}

func (w *baselineRouter) Observe(bergamotroute.Plan, time.Duration) {}

func (w *baselineRouter) random(list []*machine) *machine {
	return list[w.cluster.random.IntN(len(list))]
}

func (w *baselineRouter) roundRobin(list []*machine) *machine {
	w.nextTurn[list[0].from]++
	return list[w.nextTurn[list[0].from]%len(list)]
}

func (w *baselineRouter) leastInFlight(list []*machine) *machine {
	best := list[0]
	for _, m := range list[1:] {
		if w.inFlight[m.spec.Name] < w.inFlight[best.spec.Name] {
			best = m
		}
	}
	return best
}

// newMixedCluster returns 40 runners of three speeds with overlapping layer ranges. The bundle claims that all kinds
// are equally fast.
func newMixedCluster(l *eventLoop, b *bergamotbundle.Bundle) *cluster {
	s := newCluster(l, b)
	ranges := [][2]int{{0, 4}, {4, 8}, {8, 12}, {0, 6}, {6, 12}}
	for n := range 40 {
		r := ranges[n%len(ranges)]
		slowdown := []time.Duration{1, 2, 4}[n%3]
		s.addMachine([]string{"fast", "mid", "slow"}[n%3], r[0], r[1], slowdown*100*time.Microsecond, slowdown*20*time.Microsecond)
	}
	return s
}
