package bergamotfilter

import (
	"context"
	"time"

	"bergamotspur/core/bergamotchain"
	"bergamotspur/core/bergamotrequest"
)

// Identify finds the workspace that owns the bearer key.
type Identify struct{}

// Name returns "identify".
func (Identify) Name() string { return "identify" }

// Filter refuses requests without a known key.
func (Identify) Filter(ctx context.Context, x *bergamotchain.Exchange, next bergamotchain.Handler) error {
	b := x.View().Bundle()
	if b == nil {
		return bergamotrequest.Refuse(bergamotrequest.ReasonBundle, "no bundle is in force yet").WithRetryAfter(time.Second)
	}
	w, ok := b.WorkspaceByKey(x.Request().Key())
	if !ok {
		return bergamotrequest.Refuse(bergamotrequest.ReasonKey, "the API key is missing or unknown")
	}
	x.SetWorkspace(w)
	return next.Handle(ctx, x)
}
