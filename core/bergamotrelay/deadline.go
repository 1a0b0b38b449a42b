package bergamotrelay

import (
	"context"
	"time"

	"bergamotspur/core/bergamotrequest"
)

// defaultTimeout applies to a request for which neither the caller nor the route sets a timeout. The longest route
// timeout in use is 20 s.
const defaultTimeout = 30 * time.Second

// defaultRetryAfter is the Retry-After time of refusals that have no better estimate. Repairing the layers takes about
// a second, and reading the configuration a few hundred milliseconds.
const defaultRetryAfter = 300 * time.Millisecond

// otherEntryRetryAfter is the Retry-After time of refusals where only this entry cannot serve the request: the balancer
// sends the caller's next connection to another entry.
const otherEntryRetryAfter = 30 * time.Millisecond

// Deadline limits the time of an exchange to the timeout of the caller or of the route, whichever is shorter.
type Deadline struct {
	Clock interface{ Now() time.Time }
}

// Name returns "deadline".
func (f *Deadline) Name() string { return "deadline" }

// Filter cancels the exchange at its deadline, which counts from the arrival of the request. A request that has not been
// sent to a runner by then is refused as not run.
func (f *Deadline) Filter(ctx context.Context, x *Exchange, next Handler) (err error) {
	timeout := x.Request().CallerTimeout()
	if t := x.Route().Timeout(); t > 0 && (timeout <= 0 || t < timeout) {
		timeout = t
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	x.SetDeadline(x.Request().ArrivedAt().Add(timeout))
	remaining := x.Deadline().Sub(f.Clock.Now())
	if remaining <= 0 {
		return bergamotrequest.Refuse(bergamotrequest.ReasonDeadline, "the deadline has passed")
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	return next.Handle(ctx, x)
}
