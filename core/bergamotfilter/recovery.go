package bergamotfilter

import (
	"context"

	"bergamotspur/core/bergamotchain"
	"bergamotspur/core/bergamotrequest"
)

// Recovery turns panics and other errors into refusals and counts refusals by reason.
type Recovery struct {
	Counter Counter
	Report  func(id string, value any) // called with the request ID and the value of a panic
}

// Name returns "recover".
func (f *Recovery) Name() string { return "recover" }

// Filter passes the exchange on. Its errors are always of type *bergamotrequest.Refusal.
func (f *Recovery) Filter(ctx context.Context, x *bergamotchain.Exchange, next bergamotchain.Handler) (err error) {
	defer func() {
		if v := recover(); v != nil {
			f.Report(x.Request().ID(), v)
			err = bergamotrequest.Refuse(bergamotrequest.ReasonInternal, "internal error").WithRun(bergamotrequest.RunUnknown)
		}
		if err != nil {
			refusal := bergamotrequest.AsRefusal(err)
			f.Counter.Count("refusal." + string(refusal.Reason()))
			err = refusal
		}
	}()
	return next.Handle(ctx, x)
}
