package bergamotrelay

import (
	"context"
	"maps"
	"time"

	"bergamotspur/core/bergamotcluster"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamotroute"
)

const (
	// maxRunnerWait is how long a request waits for runners. Repairing the layers takes about a second, and callers give
	// up on a stream that is silent for two.
	maxRunnerWait = 1200 * time.Millisecond
	// runnerPollInterval is the time between two searches for runners; a search takes a few microseconds.
	runnerPollInterval = 40 * time.Millisecond
	// maxIsolationPaths is how many plans a suspect tries in search of a first runner without another suspect.
	maxIsolationPaths = 4
)

// Runners chooses the runners of a service for the attempts of its requests. How an answer is passed on is not its concern.
type Runners interface {
	// reserve returns a plan without the runners in avoid and reserves what the request needs on it; ok is false if there is none now.
	reserve(x *Exchange, avoid map[string]bool) (p bergamotroute.Plan, ok bool)
	// withdraw gives back a plan over which nothing was sent.
	withdraw(x *Exchange, p bergamotroute.Plan)
	// release ends the use of a plan over which the request was sent.
	release(x *Exchange, p bergamotroute.Plan)
	// atLimit returns the process of the runner that reserve would use without limits, if that is at its limit.
	atLimit(x *Exchange, avoid map[string]bool) (process string, ok bool)
	// recordFailure records that a runner of a plan failed an attempt, and returns a step for the trace, empty for none. It may ask the
	// runner for its report.
	recordFailure(p bergamotroute.Plan, f *Failure) (step string)
	// maxWait returns how long a request may wait for runners while there are none, 0 for not at all.
	maxWait() time.Duration
	// unavailable returns why a request is refused for which there were no runners.
	unavailable() (reason bergamotrequest.Reason, text string)
	// returnIn returns after which time a request that no runner has taken should come again.
	returnIn(x *Exchange) time.Duration
}

// awaitRunners searches for runners until there are some or the wait is over, and passes the gate for each search. heldBack is a refusal because
// of the limits of runners.
func awaitRunners(ctx context.Context, clock Clock, gate *LimitGate, x *Exchange, s runnerSearch) (ok bool, heldBack error) {
	end := clock.Now().Add(s.maxWait)
	for {
		if ok, heldBack = gate.pass(ctx, x, s); ok || heldBack != nil || !clock.Now().Before(end) {
			return ok, heldBack
		}
		s.forget()
		select {
		case <-ctx.Done():
			return false, nil
		case <-clock.After(runnerPollInterval):
		}
	}
}

// refuseUnavailable returns the refusal of a request for which there were no runners, and which none has got.
func refuseUnavailable(r Runners, x *Exchange) *bergamotrequest.Refusal {
	reason, text := r.unavailable()
	return bergamotrequest.Refuse(reason, "%s", text).WithRetryAfter(r.returnIn(x))
}

// isolate returns a plan whose first runner has no other suspect, if the request is one and there is such a plan, and the given plan
// otherwise. Without that, a request that waits at two runners while another one makes them crash would look like the cause.
func isolate(r Runners, v *bergamotcluster.View, t *trial, p bergamotroute.Plan, avoid map[string]bool) bergamotroute.Plan {
	if !t.suspect.Load() {
		return p
	}
	avoid = maps.Clone(avoid)
	for range maxIsolationPaths {
		i, ok := firstRunner(v, p)
		if !ok || t.enter(i.Process(), true) {
			return p
		}
		avoid[i.Name()] = true
		other, ok := r.reserve(t.x, avoid)
		if !ok {
			break
		}
		r.withdraw(t.x, p)
		p = other
	}
	if i, ok := firstRunner(v, p); ok {
		t.enter(i.Process(), false)
	}
	return p
}

// firstRunner returns the runner that gets a request over a plan; ok is false if it has been removed.
func firstRunner(v *bergamotcluster.View, p bergamotroute.Plan) (i bergamotfleet.Instance, ok bool) {
	return v.Fleet().Instance(p.Stages()[0].Instance())
}

// runnerAt returns the name of the runner of a plan at an address, or that of the first runner if none has it.
func runnerAt(p bergamotroute.Plan, address string) string {
	for _, stage := range p.Stages() {
		if stage.Address() == address {
			return stage.Instance()
		}
	}
	return p.Stages()[0].Instance()
}

// newAttempt returns an attempt over a plan that begins with the start of the answer.
func newAttempt(x *Exchange, p bergamotroute.Plan, v *bergamotcluster.View, now time.Time) Attempt {
	first := p.Stages()[0]
	a := Attempt{
		request: x.Request(), runner: first.Instance(), address: first.Address(), workspace: x.Workspace().Name(),
		timeout: x.Deadline().Sub(now), resumeAfter: -1, priority: x.Priority(),
	}
	if i, ok := firstRunner(v, p); ok {
		a.process = i.Process()
	}
	if x.Service().Engine() != nil {
		a.plan = p
	}
	if !x.Route().IsRetryable() {
		a.need = a.timeout
	}
	return a
}
