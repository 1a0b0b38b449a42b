package bergamotfilter

import (
	"context"
	"time"

	"bergamotspur/core/bergamotchain"
	"bergamotspur/core/bergamotrequest"
)

// Clock tells the time.
type Clock interface {
	Now() time.Time
}

// Deadline bounds the time of an exchange by the caller's deadline or the default of the pipeline or service.
type Deadline struct {
	Clock Clock
}

// Name returns "deadline".
func (f *Deadline) Name() string { return "deadline" }

// Filter refuses a request whose deadline has passed on arrival.
func (f *Deadline) Filter(ctx context.Context, x *bergamotchain.Exchange, next bergamotchain.Handler) error {
	r := x.Request()
	d := r.Timeout()
	if d == 0 {
		d = x.Pipeline().Deadline() + x.Service().Deadline()
	}
	x.SetDeadline(r.Arrival().Add(d))
	left := x.Deadline().Sub(f.Clock.Now())
	if left <= 0 {
		return bergamotrequest.Refuse(bergamotrequest.ReasonDeadline, "the deadline of %s has passed", d)
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	return next.Handle(ctx, x)
}
