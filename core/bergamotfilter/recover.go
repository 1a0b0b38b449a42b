package bergamotfilter

import (
	"context"

	"bergamotspur/core/bergamotchain"
	"bergamotspur/core/bergamotrequest"
)

// Recover turns a panic into a refusal and counts every refusal by its reason.
type Recover struct {
	Counter Counter
	Report  func(id string, value any) // called with the request and the value of a panic
}

// Name returns "recover".
func (f *Recover) Name() string { return "recover" }

// Filter passes the exchange on; its errors are always *bergamotrequest.Refusal.
func (f *Recover) Filter(ctx context.Context, x *bergamotchain.Exchange, next bergamotchain.Handler) (err error) {
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
