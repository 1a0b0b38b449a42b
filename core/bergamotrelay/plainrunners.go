package bergamotrelay

import (
	"sync"
	"time"

	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotpath"
	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamotroute"
)

// remotePenalty is added to the number of requests in flight of a runner in another data centre, so that a local
// runner is preferred at a similar load.
const remotePenalty = 0.5

// PlainRunners chooses the least loaded runner of a service without a model engine. Its plans have one stage without layers.
type PlainRunners struct {
	Clock    Clock
	Views    Views
	Observer Observer
	Centre   string      // data centre of this entry
	Avoid    interface { // records the runners to avoid for a while
		Avoid(runner string, d time.Duration)
		IsAvoided(runner string) bool
	}
	Exclusions *bergamotpath.Exclusions // runners that asked for no more requests
	Limits     bergamotpath.Limits      // that runners name, nil for none

	mu       sync.Mutex
	inFlight map[string]int // requests in flight by runner
}

// reserve returns the usable runner with the fewest requests in flight per slot and counts one more for it.
func (r *PlainRunners) reserve(x *Exchange, avoid map[string]bool) (p bergamotroute.Plan, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	best, ok := r.choose(x, avoid, true)
	if !ok || r.Limits != nil && !r.Limits.Take(best.Process()) {
		return p, false
	}
	if r.inFlight == nil {
		r.inFlight = map[string]int{}
	}
	r.inFlight[best.Name()]++
	return bergamotroute.NewPlan(bergamotroute.NewStage(best.Name(), best.Address(), 0, 0)), true
}

func (r *PlainRunners) withdraw(x *Exchange, p bergamotroute.Plan) {
	r.release(x, p)
	if i, ok := firstRunner(r.Views.View(), p); ok && r.Limits != nil {
		r.Limits.Return(i.Process())
	}
}

func (r *PlainRunners) release(_ *Exchange, p bergamotroute.Plan) {
	r.mu.Lock()
	defer r.mu.Unlock()
	runner := p.Stages()[0].Instance()
	if r.inFlight[runner]--; r.inFlight[runner] <= 0 {
		delete(r.inFlight, runner)
	}
}

func (r *PlainRunners) atLimit(x *Exchange, avoid map[string]bool) (process string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	best, found := r.choose(x, avoid, false)
	return best.Process(), found && !r.mayTake(best.Process())
}

// recordFailure makes the runner avoided, and reports it to the observer unless it was only full.
func (r *PlainRunners) recordFailure(p bergamotroute.Plan, f *Failure) (step string) {
	name := p.Stages()[0].Instance()
	r.Avoid.Avoid(name, avoidDuration)
	if f.reason != bergamotrequest.ReasonFull {
		r.Observer.RunnerFailed(name, f.Error())
	}
	return ""
}

// maxWait allows none: a runner that can take the request is known at once.
func (r *PlainRunners) maxWait() time.Duration { return 0 }

func (r *PlainRunners) unavailable() (reason bergamotrequest.Reason, text string) {
	return bergamotrequest.ReasonTarget, "no runner of the service is usable"
}

// returnIn returns, when all runners asked for a pause, the time until the first one takes requests again.
func (r *PlainRunners) returnIn(x *Exchange) time.Duration {
	first, paused := time.Duration(0), false
	for _, instance := range r.Views.View().Fleet().ByRole(x.Service().Name()) {
		if instance.Leaving() {
			continue
		}
		free := r.Exclusions.FreeIn(instance.Process())
		if free == 0 {
			return retryDelay(x, r.Clock.Now())
		}
		if !paused || free < first {
			first, paused = free, true
		}
	}
	return max(first, retryDelay(x, r.Clock.Now()))
}

// mayTake reports whether a process may get a request.
func (r *PlainRunners) mayTake(process string) bool {
	return r.Limits == nil || r.Limits.MayTake(process)
}

// choose returns the usable runner with the fewest requests in flight per slot. Unless heed is set, it takes no account of the limits of
// runners. The caller holds the lock.
func (r *PlainRunners) choose(x *Exchange, avoid map[string]bool, heed bool) (best bergamotfleet.Instance, ok bool) {
	minCost := 0.0
	for _, includeSuspects := range []bool{false, true} {
		for _, instance := range r.Views.View().Fleet().ByRole(x.Service().Name()) {
			if r.Exclusions.IsExcluded(instance.Process()) || heed && !r.mayTake(instance.Process()) {
				continue
			}
			// The second pass includes runners that failed recently: a call that they reject costs little.
			if avoid[instance.Name()] || instance.Leaving() || !includeSuspects && (instance.Failed() || r.Avoid.IsAvoided(instance.Name())) {
				continue
			}
			cost := float64(r.inFlight[instance.Name()]) / float64(max(instance.Slots(), 1))
			if instance.DataCentre() != r.Centre {
				cost += remotePenalty / float64(max(instance.Slots(), 1))
			}
			if !ok || cost < minCost {
				best, minCost, ok = instance, cost, true
			}
		}
		if ok {
			return best, true
		}
	}
	return best, false
}
