package bergamotroute

import (
	"math/rand/v2"
	"sync"
	"time"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotcurve"
	"bergamotspur/core/bergamotfleet"
)

// maxIndexAge is the longest time for which an index, and with it the weights of reports, learned curves and health
// weights, is reused.
const maxIndexAge = time.Second

// Clock returns the current time.
type Clock interface {
	Now() time.Time
}

// Health returns the load that each instance may get, relative to a healthy one; zero means none.
type Health interface {
	Weights(now time.Time, instances []bergamotfleet.Instance) []float64
}

// Affinity finds the instances that have the beginning of a prompt in their prefix caches.
type Affinity interface {
	Blocks(buf []uint64, model, prompt string) []uint64
	Holders(blocks []uint64, f func(instance string, share float64))
}

// Router chooses the paths with the least expected time and counts the sequences in flight of this entry by instance.
type Router struct {
	Clock    Clock
	Random   *rand.Rand // guarded by mu
	Centre   string     // data centre of this entry
	Curves   *bergamotcurve.Learner
	Fleet    func() *bergamotfleet.Fleet // returns the latest fleet; nil to use the fleet of the query
	Health   Health                      // nil to treat all instances as healthy
	Affinity Affinity                    // nil to ignore prefix caches

	mu        sync.Mutex
	ownLoad   map[string]*ownLoad
	index     *index
	peerRatio float64
	search    search
}

// NewRouter returns a Router without Health and Affinity.
func NewRouter(c Clock, r *rand.Rand, centre string) *Router {
	return &Router{Clock: c, Random: r, Centre: centre, Curves: bergamotcurve.NewLearner(), ownLoad: map[string]*ownLoad{}}
}

// Route returns the plan with the least expected time and counts it as in flight until Release; ok is false if no path
// covers all layers.
func (r *Router) Route(q Query) (p Plan, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.currentIndex(q.Fleet, q.Bundle)
	c := x.candidates(q.Pipeline)
	if _, ok = r.search.run(r, x, c, q); !ok {
		return Plan{}, false
	}
	p = r.search.plan(x)
	for _, s := range p.stages {
		x.targets[s.instance].ownLoad.add(s.share)
	}
	return p, true
}

// ExpectedTokenTime returns the expected time of one token on the path that Route would choose now, without counting it
// as in flight; ok is false if no path covers all layers.
func (r *Router) ExpectedTokenTime(q Query) (perToken time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.currentIndex(q.Fleet, q.Bundle)
	if _, ok = r.search.run(r, x, x.candidates(q.Pipeline), q); !ok {
		return 0, false
	}
	return time.Duration(r.search.tokenTime(x) * float64(time.Microsecond)), true
}

// Release stops counting a plan that Route returned as in flight.
func (r *Router) Release(p Plan) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range p.stages {
		l, ok := r.ownLoad[s.instance]
		if !ok {
			continue
		}
		l.remove(s.share)
		if l.inFlight <= 0 && (r.index == nil || r.index.targets[s.instance] == nil) {
			delete(r.ownLoad, s.instance)
		}
	}
}

// Observe updates the learned curves with the mean time of a token on a plan.
func (r *Router) Observe(p Plan, tokenTime time.Duration) {
	if observedStages := r.observedStages(p); observedStages != nil {
		r.Curves.Observe(observedStages, tokenTime)
	}
}

// Bottleneck returns the instance that takes the largest share of a token's time on a plan, or an empty string if an
// instance of the plan is no longer usable.
func (r *Router) Bottleneck(p Plan) string {
	observedStages := r.observedStages(p)
	if observedStages == nil {
		return ""
	}
	return p.stages[r.Curves.Bottleneck(observedStages)].instance
}

// observedStages returns the stages of a plan with their current batches, or nil if an instance is no longer in the index.
func (r *Router) observedStages(p Plan) (observedStages []bergamotcurve.Stage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range p.stages {
		if r.index == nil || r.index.targets[s.instance] == nil {
			return nil
		}
		t := r.index.targets[s.instance]
		observedStages = append(observedStages, bergamotcurve.NewStage(s.instance, t.kind, t.centre, s.to-s.from, t.batch(r.index)))
	}
	return observedStages
}

// currentIndex returns the index of a fleet and bundle, rebuilt if one of them changed or the index is too old.
func (r *Router) currentIndex(f *bergamotfleet.Fleet, b *bergamotbundle.Bundle) *index {
	now := r.Clock.Now()
	x := r.index
	// A retry keeps the view of its request, but must only use instances that are alive now.
	if r.Fleet != nil {
		f = r.Fleet()
	}
	if x != nil && x.bundle == b {
		age := now.Sub(x.built)
		if age < maxIndexAge && (x.fleet == f || age < minRebuildPerRunner*time.Duration(len(x.targets))) {
			return x
		}
	}
	r.index = newIndex(r, f, b, now)
	for name, l := range r.ownLoad {
		if l.inFlight <= 0 && r.index.targets[name] == nil {
			delete(r.ownLoad, name)
		}
	}
	r.Curves.Keep(func(name string) bool { return r.index.targets[name] != nil })
	return r.index
}

// minRebuildPerRunner is the minimum time between two builds of the index for changed fleets, multiplied by the number of
// runners. Each probe changes the fleet, and a build takes about 0.9 microseconds a runner, so that builds use at most
// 3 % of a core.
const minRebuildPerRunner = 30 * time.Microsecond
