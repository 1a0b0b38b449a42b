package bergamotroute

import (
	"math"
	"sync"

	"bergamotspur/core/bergamotfleet"
)

// Router chooses paths and counts the work that this entry has in flight on each instance.
type Router struct {
	mu       sync.Mutex
	inflight map[string]int
}

// NewRouter returns a router with no work in flight.
func NewRouter() *Router { return &Router{inflight: map[string]int{}} }

// Route returns the plan with the least work in flight and reserves it; ok is false when no path covers all layers.
func (r *Router) Route(w Want) (p Plan, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok = r.best(w)
	for _, s := range p.stages {
		r.inflight[s.instance]++
	}
	return p, ok
}

// Finish releases the work of a plan that Route returned.
func (r *Router) Finish(p Plan) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range p.stages {
		if r.inflight[s.instance]--; r.inflight[s.instance] <= 0 {
			delete(r.inflight, s.instance)
		}
	}
}

type hop struct {
	cost  float64
	stage Stage
}

// best finds the cheapest path by dynamic programming over the layer at which a stage ends.
func (r *Router) best(w Want) (p Plan, ok bool) {
	m := w.Pipeline.Model()
	at := make([]hop, m.Layers()+1)
	for n := 1; n < len(at); n++ {
		at[n].cost = math.Inf(1)
	}
	for from := 0; from < m.Layers(); from++ {
		if math.IsInf(at[from].cost, 1) {
			continue
		}
		r.extend(at, from, w)
	}
	if math.IsInf(at[m.Layers()].cost, 1) {
		return Plan{}, false
	}
	for n := m.Layers(); n > 0; n = at[n].stage.from {
		p.stages = append([]Stage{at[n].stage}, p.stages...)
	}
	return p, true
}

func (r *Router) extend(at []hop, from int, w Want) {
	m := w.Pipeline.Model()
	for _, i := range w.Fleet.Role(bergamotfleet.RoleRunner) {
		if !i.Usable() || w.Avoid[i.Name()] {
			continue
		}
		for _, h := range i.Holdings() {
			if !h.Serves(m.Name(), m.Version(), w.Pipeline.Adapter()) || h.From() > from || h.To() <= from {
				continue
			}
			to := min(h.To(), m.Layers())
			cost := at[from].cost + 1 + float64(r.inflight[i.Name()])
			if cost < at[to].cost {
				at[to] = hop{cost: cost, stage: NewStage(i.Name(), i.Address(), from, to)}
			}
		}
	}
}
