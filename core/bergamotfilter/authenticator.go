package bergamotfilter

import (
	"context"
	"time"

	"bergamotspur/core/bergamotchain"
	"bergamotspur/core/bergamotrequest"
)

// Authenticator determines the workspace that owns the API key of a request.
type Authenticator struct{}

// Name returns "identify".
func (Authenticator) Name() string { return "identify" }

// Filter sets the workspace of the exchange. It refuses requests without a known key, and all requests while no bundle
// is in force.
func (Authenticator) Filter(ctx context.Context, x *bergamotchain.Exchange, next bergamotchain.Handler) error {
	b := x.View().Bundle()
	if b == nil {
		return bergamotrequest.Refuse(bergamotrequest.ReasonBundle, "no bundle is in force yet").WithRetryAfter(time.Second)
	}
	w, ok := b.WorkspaceByKey(x.Request().APIKey())
	if !ok {
		return bergamotrequest.Refuse(bergamotrequest.ReasonKey, "the API key is missing or unknown")
	}
	x.SetWorkspace(w)
	return next.Handle(ctx, x)
}
