package bergamotfilter

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"bergamotspur/core/bergamotchain"
	"bergamotspur/core/bergamotclaim"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamotretry"
)

// Caller sends one call to an instance of a plain service, at most once; name identifies a call that may not be
// repeated and is empty for others.
type Caller interface {
	Call(ctx context.Context, address, name string, r *bergamotrequest.Request) (bergamotrequest.Reply, error)
}

// Retries bounds the attempts of a request.
type Retries interface {
	RecordFirst(workspace string, targets ...string)
	Wait(ctx context.Context, workspace string, n int, deadline time.Time, targets ...string) error
}

// Call is the handler that dispatches requests for plain services.
type Call struct {
	Caller  Caller
	Counter Counter
	Clock   Clock
	Retries Retries

	turn atomic.Uint64
}

// ErrNotSent is in the chain of an error when a call certainly did not reach the service.
var ErrNotSent = errors.New("the call was not sent")

// Handle sends the call to a usable instance; it tries another one only when the call was certainly not sent
// or may be repeated, and when the retry budget and the deadline allow it.
func (h *Call) Handle(ctx context.Context, x *bergamotchain.Exchange) error {
	r := x.Request()
	name := ""
	if x.Service().RunsOnce(r.Call()) {
		name = bergamotclaim.NewCall(x.Workspace().Name(), r, x.Deadline()).Name()
	}
	run := bergamotrequest.RunNo
	var last error
	for n, i := range h.instances(x) {
		if refusal := h.admit(ctx, x, n, i); refusal != nil {
			return refusal.WithRun(run)
		}
		reply, err := h.Caller.Call(ctx, i.Address(), name, r)
		if err == nil {
			x.AddPath(i.Name())
			return x.Sink().Reply(ctx, reply)
		}
		last = err
		if !errors.Is(err, ErrNotSent) {
			run = bergamotrequest.RunUnknown
			if name != "" {
				break
			}
		}
		h.Counter.Count("retry." + string(bergamotrequest.ReasonTarget))
	}
	if last == nil {
		return bergamotrequest.Refuse(bergamotrequest.ReasonPath, "no instance of service %s is available", r.Service())
	}
	return bergamotrequest.Refuse(bergamotrequest.ReasonTarget, "service %s failed: %s", r.Service(), last).WithRun(run)
}

// instances returns the usable instances of the service, beginning with another one for each request.
func (h *Call) instances(x *bergamotchain.Exchange) (usable []bergamotfleet.Instance) {
	all := x.View().Fleet().ByRole(x.Request().Service())
	begin := int(h.turn.Add(1) % uint64(max(len(all), 1)))
	for n := range all {
		if i := all[(begin+n)%len(all)]; i.Usable() {
			usable = append(usable, i)
		}
	}
	return usable
}

// admit refuses an attempt that the retry budget or the deadline does not allow.
func (h *Call) admit(ctx context.Context, x *bergamotchain.Exchange, n int, i bergamotfleet.Instance) *bergamotrequest.Refusal {
	var err error
	if n == 0 {
		h.Retries.RecordFirst(x.Workspace().Name(), i.Name())
	} else {
		err = h.Retries.Wait(ctx, x.Workspace().Name(), n, x.Deadline(), i.Name())
	}
	switch {
	case errors.Is(err, bergamotretry.ErrBudget):
		return bergamotrequest.Refuse(bergamotrequest.ReasonBudget, "%s", err).WithRetryAfter(time.Second)
	case errors.Is(err, context.Canceled), errors.Is(ctx.Err(), context.Canceled):
		return bergamotrequest.Refuse(bergamotrequest.ReasonCancel, "the caller went away")
	case err != nil, ctx.Err() != nil, !h.Clock.Now().Before(x.Deadline()):
		// After a pause of the process the timer of ctx may not have fired yet, so that the clock is read as well.
		return bergamotrequest.Refuse(bergamotrequest.ReasonDeadline, "the deadline passed before the call was sent")
	}
	return nil
}
