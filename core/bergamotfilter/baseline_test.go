package bergamotfilter_test

import (
	"time"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotroute"
)

// chooser is path selection as the load tests drive it.
type chooser interface {
	Route(w bergamotroute.Query) (p bergamotroute.Plan, ok bool)
	Finish(p bergamotroute.Plan)
	Observe(p bergamotroute.Plan, token time.Duration)
}

// walk is a plain baseline: at each layer it picks one of the instances that hold it.
type walk struct {
	pick     func(list []*machine) *machine
	site     *site
	inflight map[string]int
	turn     map[int]int
}

func newWalk(s *site, rule string) *walk {
	w := &walk{site: s, inflight: map[string]int{}, turn: map[int]int{}}
	w.pick = map[string]func([]*machine) *machine{"random": w.random, "robin": w.robin, "least": w.least}[rule]
	return w
}

func (w *walk) Route(want bergamotroute.Query) (p bergamotroute.Plan, ok bool) {
	var stages []bergamotroute.Stage
	for layer := 0; layer < want.Pipeline.Model().Layers(); {
		var list []*machine
		for _, m := range w.site.order {
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
		w.inflight[s.Instance()]++
	}
	return bergamotroute.NewPlan(stages...), true
}

func (w *walk) Finish(p bergamotroute.Plan) {
	for _, s := range p.Stages() {
		w.inflight[s.Instance()]--
	}
}

func (w *walk) Observe(bergamotroute.Plan, time.Duration) {}

func (w *walk) random(list []*machine) *machine { return list[w.site.random.IntN(len(list))] }

func (w *walk) robin(list []*machine) *machine {
	w.turn[list[0].from]++
	return list[w.turn[list[0].from]%len(list)]
}

func (w *walk) least(list []*machine) *machine {
	best := list[0]
	for _, m := range list[1:] {
		if w.inflight[m.spec.Name] < w.inflight[best.spec.Name] {
			best = m
		}
	}
	return best
}

// mixed is 40 runners of three kinds with overlapping ranges; the bundle takes all kinds for alike.
func mixed(l *loop, b *bergamotbundle.Bundle) *site {
	s := newSite(l, b)
	ranges := [][2]int{{0, 4}, {4, 8}, {8, 12}, {0, 6}, {6, 12}}
	for n := range 40 {
		r := ranges[n%len(ranges)]
		slow := []time.Duration{1, 2, 4}[n%3]
		s.add([]string{"fast", "mid", "slow"}[n%3], r[0], r[1], slow*100*time.Microsecond, slow*20*time.Microsecond)
	}
	return s
}
