package bergamotrelay

import (
	"context"
	"time"

	"bergamotspur/core/bergamotrequest"
)

// shutdownRetryAfter is roughly the time until a stopping entry has been replaced or another entry accepts its callers.
const shutdownRetryAfter = time.Second

// ShutdownFilter keeps a stopping entry from accepting requests that it cannot finish.
type ShutdownFilter struct {
	IsRefusingStreams func() bool // reports whether a new stream would be cut off
	IsRefusingAll     func() bool // reports whether any new request would be cut off
}

// Name returns "stopping".
func (f *ShutdownFilter) Name() string { return "stopping" }

// Filter refuses requests that the entry cannot finish before it exits: first streams, later all requests.
func (f *ShutdownFilter) Filter(ctx context.Context, x *Exchange, next Handler) error {
	if f.IsRefusingStreams() && x.Route().IsStreaming() || f.IsRefusingAll() {
		return bergamotrequest.Refuse(bergamotrequest.ReasonDrain, "the entry is stopping").WithRetryAfter(shutdownRetryAfter)
	}
	return next.Handle(ctx, x)
}
