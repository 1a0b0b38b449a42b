package bergamotroute

import (
	"math/rand/v2"
	"sync"
	"time"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotcurve"
	"bergamotspur/core/bergamotfleet"
)

// refresh bounds the time for which discounts of reports, learned curves and health weights are reused.
const refresh = time.Second

// Clock tells the time.
type Clock interface {
	Now() time.Time
}

// Health tells how much work instances may get, relative to a healthy one; zero means none.
type Health interface {
	Weights(now time.Time, instances []bergamotfleet.Instance) []float64
}

// Affinity tells which instances have the beginning of a prompt in their caches.
type Affinity interface {
	Blocks(buf []uint64, model, prompt string) []uint64
	Holders(blocks []uint64, f func(instance string, share float64))
}

// Router chooses paths by expected time and counts the work that this entry has in flight on each instance.
type Router struct {
	Clock    Clock
	Random   *rand.Rand // used under the router's lock
	Centre   string     // data centre of the entry
	Curves   *bergamotcurve.Learner
	Fleet    func() *bergamotfleet.Fleet // latest fleet; nil to use that of the request
	Health   Health                      // nil when all instances are healthy
	Affinity Affinity                    // nil when no prefix caches are known

	mu     sync.Mutex
	work   map[string]*work
	index  *index
	peers  float64
	search search
}

// NewRouter returns a router without health and affinity.
func NewRouter(c Clock, r *rand.Rand, centre string) *Router {
	return &Router{Clock: c, Random: r, Centre: centre, Curves: bergamotcurve.NewLearner(), work: map[string]*work{}}
}

// Route returns the plan with the least expected time and reserves it; ok is false when no path covers all layers.
func (r *Router) Route(w Want) (p Plan, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.refreshed(w.Fleet, w.Bundle)
	c := x.chart(w.Pipeline)
	if _, ok = r.search.run(r, x, c, w); !ok {
		return Plan{}, false
	}
	p = r.search.plan(x)
	for _, s := range p.stages {
		x.targets[s.instance].work.add(s.share)
	}
	return p, true
}

// Expect returns the expected time of one token on the path that Route would choose now, without reserving it.
func (r *Router) Expect(w Want) (token time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.refreshed(w.Fleet, w.Bundle)
	if _, ok = r.search.run(r, x, x.chart(w.Pipeline), w); !ok {
		return 0, false
	}
	return time.Duration(r.search.total(x) * float64(time.Microsecond)), true
}

// Finish releases the work of a plan that Route returned.
func (r *Router) Finish(p Plan) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range p.stages {
		w, ok := r.work[s.instance]
		if !ok {
			continue
		}
		w.remove(s.share)
		if w.count <= 0 && (r.index == nil || r.index.targets[s.instance] == nil) {
			delete(r.work, s.instance)
		}
	}
}

// Observe learns from the mean time of a token on a plan.
func (r *Router) Observe(p Plan, token time.Duration) {
	if parts := r.parts(p); parts != nil {
		r.Curves.Observe(parts, token)
	}
}

// Binding returns the instance that takes the largest share of a token's time on a plan, empty when it is not known.
func (r *Router) Binding(p Plan) string {
	parts := r.parts(p)
	if parts == nil {
		return ""
	}
	return p.stages[r.Curves.Binding(parts)].instance
}

func (r *Router) parts(p Plan) (parts []bergamotcurve.Part) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range p.stages {
		if r.index == nil || r.index.targets[s.instance] == nil {
			return nil
		}
		t := r.index.targets[s.instance]
		parts = append(parts, bergamotcurve.NewPart(s.instance, t.kind, t.centre, s.to-s.from, t.batch(r.index)))
	}
	return parts
}

// refreshed returns the index of a fleet, which is rebuilt for a new fleet or bundle and when it is old.
func (r *Router) refreshed(f *bergamotfleet.Fleet, b *bergamotbundle.Bundle) *index {
	now := r.Clock.Now()
	x := r.index
	// A retry keeps the view with which its request arrived, but needs the instances that live now.
	if r.Fleet != nil {
		f = r.Fleet()
	}
	if x != nil && x.bundle == b {
		age := now.Sub(x.built)
		if age < refresh && (x.fleet == f || age < hold*time.Duration(len(x.targets))) {
			return x
		}
	}
	r.index = newIndex(r, f, b, now)
	for name, w := range r.work {
		if w.count <= 0 && r.index.targets[name] == nil {
			delete(r.work, name)
		}
	}
	r.Curves.Keep(func(name string) bool { return r.index.targets[name] != nil })
	return r.index
}

// hold is the shortest time between two builds for changed fleets, for each runner. Each probe changes the fleet; a
// build takes about 0.9 microseconds a runner, which this keeps to 3 % of a core.
const hold = 30 * time.Microsecond
