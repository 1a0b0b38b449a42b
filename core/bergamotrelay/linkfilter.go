package bergamotrelay

import (
	"context"
	"time"

	"bergamotspur/core/bergamotrequest"
)

const (
	// searchWait is how long a request waits while this entry looks for another one for the first time after the loss of its links. It
	// takes a few milliseconds, unless others are cut off in the same moment.
	searchWait = 150 * time.Millisecond
	searchPoll = 10 * time.Millisecond // time between two looks whether one has been found
)

// LinkFilter refuses requests while neither this entry nor another one reaches the runners for it, instead of letting them wait.
type LinkFilter struct {
	Clock Clock
	// IsIsolated reports whether no runner can be reached.
	IsIsolated func() bool
	// IsSearching reports whether this entry has begun to look for another one that reaches them and has no answer yet; nil for never.
	IsSearching func() bool
}

// Name returns "links".
func (f *LinkFilter) Name() string { return "links" }

// Filter refuses a request that cannot reach a runner. It has to come after Deadline.
func (f *LinkFilter) Filter(ctx context.Context, x *Exchange, next Handler) error {
	end := f.Clock.Now().Add(searchWait)
	for f.IsIsolated() {
		if f.IsSearching == nil || !f.IsSearching() || !f.Clock.Now().Before(end) {
			return bergamotrequest.Refuse(bergamotrequest.ReasonLink, "no runner can be reached from here").WithRetryAfter(retryDelay(x, f.Clock.Now()))
		}
		select {
		case <-ctx.Done():
			return refuseEnded(ctx)
		case <-f.Clock.After(searchPoll):
		}
	}
	return next.Handle(ctx, x)
}
