package bergamotfilter

import (
	"context"
	"time"

	"bergamotspur/core/bergamotchain"
	"bergamotspur/core/bergamotrequest"
)

// Clock returns the current time.
type Clock interface {
	Now() time.Time
}

// Deadline sets the deadline of an exchange, from the timeout of the caller or else the default of the pipeline or
// service.
type Deadline struct {
	Clock Clock
}

// Name returns "deadline".
func (f *Deadline) Name() string { return "deadline" }

// Filter sets the deadline and refuses a request whose deadline has already passed.
func (f *Deadline) Filter(ctx context.Context, x *bergamotchain.Exchange, next bergamotchain.Handler) error {
	r := x.Request()
	d := r.Timeout()
	if d == 0 {
		d = x.Pipeline().Deadline() + x.Service().Deadline()
	}
	x.SetDeadline(r.ArrivedAt().Add(d))
	remaining := x.Deadline().Sub(f.Clock.Now())
	if remaining <= 0 {
		return bergamotrequest.Refuse(bergamotrequest.ReasonDeadline, "the deadline of %s has passed", d)
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	return next.Handle(ctx, x)
}
