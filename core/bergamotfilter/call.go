package bergamotfilter

import (
	"context"
	"errors"

	"bergamotspur/core/bergamotchain"
	"bergamotspur/core/bergamotrequest"
)

// Caller sends one call to an instance of a plain service, at most once.
type Caller interface {
	Call(ctx context.Context, address string, r *bergamotrequest.Request) (bergamotrequest.Reply, error)
}

// Call is the handler that dispatches requests for plain services.
type Call struct {
	Caller  Caller
	Counter Counter
}

// ErrNotSent is in the chain of an error when a call certainly did not reach the service.
var ErrNotSent = errors.New("the call was not sent")

// Handle sends the call to a usable instance; it tries another one only when the call was certainly not sent
// or may be repeated.
func (h *Call) Handle(ctx context.Context, x *bergamotchain.Exchange) error {
	r := x.Request()
	run := bergamotrequest.RunNo
	var last error
	for _, i := range x.View().Fleet().Role(r.Service()) {
		if !i.Usable() {
			continue
		}
		reply, err := h.Caller.Call(ctx, i.Address(), r)
		if err == nil {
			x.AddPath(i.Name())
			return x.Sink().Reply(ctx, reply)
		}
		last = err
		if errors.Is(err, ErrNotSent) {
			h.Counter.Count("retry." + string(bergamotrequest.ReasonTarget))
			continue
		}
		run = bergamotrequest.RunUnknown
		if x.Service().Once(r.Call()) {
			break
		}
		h.Counter.Count("retry." + string(bergamotrequest.ReasonTarget))
	}
	if last == nil {
		return bergamotrequest.Refuse(bergamotrequest.ReasonPath, "no instance of service %s is available", r.Service())
	}
	return bergamotrequest.Refuse(bergamotrequest.ReasonTarget, "service %s failed: %s", r.Service(), last).Ran(run)
}
