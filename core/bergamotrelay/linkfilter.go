package bergamotrelay

import (
	"context"

	"bergamotspur/core/bergamotrequest"
)

// LinkFilter refuses requests while neither this entry nor another one reaches the runners for it, instead of letting them wait.
type LinkFilter struct {
	Clock Clock
	// IsIsolated reports whether no runner can be reached.
	IsIsolated func() bool
}

// Name returns "links".
func (f *LinkFilter) Name() string { return "links" }

// Filter refuses a request that cannot reach a runner. It has to come after Deadline.
func (f *LinkFilter) Filter(ctx context.Context, x *Exchange, next Handler) error {
	if f.IsIsolated() {
		return bergamotrequest.Refuse(bergamotrequest.ReasonLink, "no runner can be reached from here").WithRetryAfter(retryDelay(x, f.Clock.Now()))
	}
	return next.Handle(ctx, x)
}
