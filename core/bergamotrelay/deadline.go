package bergamotrelay

import (
	"context"
	"time"

	"bergamotspur/core/bergamotrequest"
)

// defaultWait bounds a request whose caller and route name no time; the longest route timeout known is 20 s.
const defaultWait = 30 * time.Second

// retryAfter is the time after which a caller may ask again where nothing better is known: a repair of the layers
// takes about a second, and a reading of the configuration a few hundred milliseconds.
const retryAfter = 300 * time.Millisecond

// retryElsewhere is the time after which a caller may ask again when only this entry cannot serve it: the balancer sends
// its next connection to another one.
const retryElsewhere = 30 * time.Millisecond

// Deadline bounds the time of an exchange by what the caller grants and what the route allows.
type Deadline struct {
	Clock interface{ Now() time.Time }
}

// Name returns "deadline".
func (f *Deadline) Name() string { return "deadline" }

// Filter ends the exchange at its deadline. A request that went to no runner by then was not run.
func (f *Deadline) Filter(ctx context.Context, x *Exchange, next Handler) (err error) {
	wait := x.Request().Wait()
	if t := x.Route().Timeout(); t > 0 && (wait <= 0 || t < wait) {
		wait = t
	}
	if wait <= 0 {
		wait = defaultWait
	}
	x.SetDeadline(x.Request().Arrived().Add(wait))
	left := x.Deadline().Sub(f.Clock.Now())
	if left <= 0 {
		return bergamotrequest.Refuse(bergamotrequest.ReasonDeadline, "the deadline has passed")
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	return next.Handle(ctx, x)
}
