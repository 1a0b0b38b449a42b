package bergamotrelay

import (
	"context"
	"time"

	"bergamotspur/core/bergamotrequest"
)

// restartTime is about the time after which an entry that stops has been replaced, or another one takes callers.
const restartTime = time.Second

// Stopping keeps an entry that is about to stop from beginning streams that it could not finish.
type Stopping struct {
	Closing func() bool // streams could not be finished any more
	Ending  func() bool // calls could not be finished any more
}

// Name returns "stopping".
func (f *Stopping) Name() string { return "stopping" }

// Filter refuses what the entry could not finish before it ends: streams first, in the end calls as well.
func (f *Stopping) Filter(ctx context.Context, x *Exchange, next Handler) error {
	if f.Closing() && x.Route().IsStreaming() || f.Ending() {
		return bergamotrequest.Refuse(bergamotrequest.ReasonDrain, "the entry is stopping").WithRetryAfter(restartTime)
	}
	return next.Handle(ctx, x)
}
