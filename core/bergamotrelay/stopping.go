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
	Closing func() bool
}

// Name returns "stopping".
func (f *Stopping) Name() string { return "stopping" }

// Filter refuses streams while the entry stops; calls are short enough.
func (f *Stopping) Filter(ctx context.Context, x *Exchange, next Handler) error {
	if f.Closing() && x.Route().Streaming() {
		return bergamotrequest.Refuse(bergamotrequest.ReasonDrain, "the entry is stopping").RetryAfter(restartTime)
	}
	return next.Handle(ctx, x)
}
