package bergamotrelay

import (
	"context"

	"bergamotspur/core/bergamotrequest"
)

// PanicRecovery is the filter that turns panics of the filters and handlers after it into refusals, so that their callers get an
// answer and the request is recorded.
type PanicRecovery struct {
	// OnPanic is called with the value of each panic, while the stack still shows where it happened.
	OnPanic func(x *Exchange, value any)
}

// Name returns "recover".
func (f *PanicRecovery) Name() string { return "recover" }

// Filter passes a request on. It has to be the first filter.
func (f *PanicRecovery) Filter(ctx context.Context, x *Exchange, next Handler) (err error) {
	defer func() {
		if v := recover(); v != nil {
			f.OnPanic(x, v)
			err = bergamotrequest.Refuse(bergamotrequest.ReasonInternal, "internal error").WithRun(bergamotrequest.RunUnknown)
		}
	}()
	return next.Handle(ctx, x)
}
