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

// Caller sends a call to an instance of a plain service without retrying it; name identifies a non-repeatable call and
// is empty for other calls.
type Caller interface {
	Call(ctx context.Context, address, name string, r *bergamotrequest.Request) (bergamotrequest.Reply, error)
}

// Retries limits the retries of requests by budgets per workspace and target and delays them by a backoff.
type Retries interface {
	RecordFirst(workspace string, targets ...string)
	Wait(ctx context.Context, workspace string, n int, deadline time.Time, targets ...string) error
}

// CallHandler dispatches requests for plain services and fails over between their instances.
type CallHandler struct {
	Caller  Caller
	Counter Counter
	Clock   Clock
	Retries Retries

	roundRobin atomic.Uint64
}

// ErrNotSent is wrapped by the error of a call that certainly did not reach the service.
var ErrNotSent = errors.New("the call was not sent")

// Handle sends the call to a usable instance. It fails over to another instance only if the call was certainly not sent
// or is repeatable, and if the retry budget and the deadline allow it.
func (h *CallHandler) Handle(ctx context.Context, x *bergamotchain.Exchange) error {
	r := x.Request()
	name := ""
	if x.Service().RunsOnce(r.Call()) {
		name = bergamotclaim.NewCall(x.Workspace().Name(), r, x.Deadline()).Name()
	}
	runState := bergamotrequest.RunNo
	var lastErr error
	for n, i := range h.usableInstances(x) {
		if refusal := h.admit(ctx, x, n, i); refusal != nil {
			return refusal.WithRun(runState)
		}
		reply, err := h.Caller.Call(ctx, i.Address(), name, r)
		if err == nil {
			x.AddPath(i.Name())
			return x.Sink().Reply(ctx, reply)
		}
		lastErr = err
		if !errors.Is(err, ErrNotSent) {
			runState = bergamotrequest.RunUnknown
			if name != "" {
				break
			}
		}
		h.Counter.Count("retry." + string(bergamotrequest.ReasonTarget))
	}
	if lastErr == nil {
		return bergamotrequest.Refuse(bergamotrequest.ReasonPath, "no instance of service %s is available", r.Service())
	}
	return bergamotrequest.Refuse(bergamotrequest.ReasonTarget, "service %s failed: %s", r.Service(), lastErr).WithRun(runState)
}

// usableInstances returns the usable instances of the service in round-robin order: each request starts at the next
// one.
func (h *CallHandler) usableInstances(x *bergamotchain.Exchange) (usable []bergamotfleet.Instance) {
	all := x.View().Fleet().ByRole(x.Request().Service())
	offset := int(h.roundRobin.Add(1) % uint64(max(len(all), 1)))
	for n := range all {
		if i := all[(offset+n)%len(all)]; i.Usable() {
			usable = append(usable, i)
		}
	}
	return usable
}

// admit records the first attempt, waits for the backoff before a retry, and refuses an attempt that the retry budget
// or the deadline does not allow.
func (h *CallHandler) admit(ctx context.Context, x *bergamotchain.Exchange, attempt int, i bergamotfleet.Instance) *bergamotrequest.Refusal {
	var err error
	if attempt == 0 {
		h.Retries.RecordFirst(x.Workspace().Name(), i.Name())
	} else {
		err = h.Retries.Wait(ctx, x.Workspace().Name(), attempt, x.Deadline(), i.Name())
	}
	switch {
	case errors.Is(err, bergamotretry.ErrBudget):
		return bergamotrequest.Refuse(bergamotrequest.ReasonBudget, "%s", err).WithRetryAfter(time.Second)
	case errors.Is(err, context.Canceled), errors.Is(ctx.Err(), context.Canceled):
		return bergamotrequest.Refuse(bergamotrequest.ReasonCancel, "the caller went away")
	case err != nil, ctx.Err() != nil, !h.Clock.Now().Before(x.Deadline()):
		// After the process was suspended, the timer of ctx may not have fired yet, so the clock is checked as well.
		return bergamotrequest.Refuse(bergamotrequest.ReasonDeadline, "the deadline passed before the call was sent")
	}
	return nil
}
