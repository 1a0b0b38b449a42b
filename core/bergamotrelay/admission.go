package bergamotrelay

import (
	"context"
	"sync"
	"time"

	"bergamotspur/core/bergamotcapacity"
	"bergamotspur/core/bergamotconfig"
	"bergamotspur/core/bergamotrequest"
)

// Admission is the filter that holds back or refuses less urgent requests for a model while more urgent ones are expected to
// need the capacity. It acts on services whose requests can have different priorities.
type Admission struct {
	Clock      Clock
	Random     func() float64 // from 0 to 1, spreads the times to return; may be called concurrently
	Thresholds bergamotcapacity.Thresholds
	// Refresh asks for a new estimate without blocking. It is called while the estimate is older than EstimateInterval.
	Refresh func()
	// OnDecision is called for each request when it has been admitted or refused. It must not block.
	OnDecision func(x *Exchange, d bergamotcapacity.Decision)

	mu       sync.RWMutex
	services map[string]*bergamotcapacity.Admission
}

// Name returns "admission".
func (f *Admission) Name() string { return "admission" }

// Filter passes a request on at once or after a wait, or refuses it. It has to come after the filters that set the route, the
// workspace and the deadline.
func (f *Admission) Filter(ctx context.Context, x *Exchange, next Handler) error {
	c := x.View().Config()
	if c == nil || x.Service().Engine() == nil || !c.Priorities(x.Service().Name()).Differ() {
		return next.Handle(ctx, x)
	}
	a, now := f.Service(x.Service().Name()), f.Clock.Now()
	if now.Sub(a.EstimatedAt()) >= EstimateInterval {
		f.Refresh()
	}
	d, ticket := a.Arrive(now, admissionRequest(c, x))
	if ticket != nil {
		var err error
		if d, err = f.wait(ctx, x, a, ticket, d.MaxWait()); err != nil {
			return err
		}
	}
	f.OnDecision(x, d)
	if d.Action() == bergamotcapacity.Refuse {
		return f.refuse(x, a, d)
	}
	defer func() { a.End(f.Clock.Now(), d) }()
	return next.Handle(ctx, x)
}

// Service returns the admission of a service.
func (f *Admission) Service(name string) *bergamotcapacity.Admission {
	f.mu.RLock()
	a := f.services[name]
	f.mu.RUnlock()
	if a != nil {
		return a
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.services == nil {
		f.services = map[string]*bergamotcapacity.Admission{}
	}
	if f.services[name] == nil {
		f.services[name] = bergamotcapacity.NewAdmission(f.Thresholds)
	}
	return f.services[name]
}

// wait waits until the request is admitted or refused. It returns a refusal if the request ends before that.
func (f *Admission) wait(ctx context.Context, x *Exchange, a *bergamotcapacity.Admission, t *bergamotcapacity.Ticket, bound time.Duration) (d bergamotcapacity.Decision, err error) {
	select {
	case <-t.Granted():
		d = t.Decision()
	case <-ctx.Done():
		a.Cancel(f.Clock.Now(), t)
		return d, refuseEnded(ctx)
	case <-f.Clock.After(bound):
		d = a.Expire(f.Clock.Now(), t)
	}
	x.Trace().AddStep("waited " + d.Waited().Round(time.Millisecond).String() + " for capacity")
	return d, nil
}

// refuse returns the refusal of a request, which no runner has run.
func (f *Admission) refuse(x *Exchange, a *bergamotcapacity.Admission, d bergamotcapacity.Decision) error {
	now := f.Clock.Now()
	r := bergamotrequest.Refuse(bergamotrequest.ReasonRoom, "the free capacity is kept for more urgent requests")
	if d.Reason() == bergamotcapacity.ReasonSize {
		r = bergamotrequest.Refuse(bergamotrequest.ReasonRoom, "the request has more tokens than fit on any path")
	}
	return r.WithRetryAfter(a.RetryAfter(now, d, x.Deadline().Sub(now), f.Random()))
}

// admissionRequest returns what the decision about a request depends on.
func admissionRequest(c *bergamotconfig.Config, x *Exchange) bergamotcapacity.Request {
	return bergamotcapacity.Request{
		Workspace: x.Workspace().Name(), Priority: bergamotconfig.ClampPriority(x.Priority()), MostUrgent: c.Priorities(x.Service().Name()).MostUrgent(),
		Tokens: x.Request().Tokens(), Resumes: x.LastEvent() >= 0,
		Arrived: x.Request().ArrivedAt(), TargetLatency: x.Route().TargetLatency(), Deadline: x.Deadline(),
	}
}
