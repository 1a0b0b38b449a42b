package bergamotrelay

import (
	"context"
	"time"

	"bergamotspur/core/bergamotrequest"
)

// Authenticator determines the workspace of a request from its API key.
type Authenticator struct {
	Freshness      Freshness
	MaxNegativeAge time.Duration        // age of the configuration up to which the absence of a key is conclusive
	MaxKeyAge      func() time.Duration // returns the age of the configuration up to which its keys are accepted
}

// Name returns "identify".
func (f *Authenticator) Name() string { return "identify" }

// Filter refuses a request without a known key. It also refuses every request that needs a key once the configuration
// is so old that the key may have been revoked without this entry knowing.
func (f *Authenticator) Filter(ctx context.Context, x *Exchange, next Handler) error {
	c := x.View().Config()
	if !c.RequiresKey() || x.Route().IsPublic() {
		return next.Handle(ctx, x)
	}
	age := f.Freshness.Age(x)
	if age > f.MaxKeyAge() {
		return bergamotrequest.Refuse(bergamotrequest.ReasonStale, "the keys were last confirmed %s ago", age.Round(time.Millisecond)).
			WithRetryAfter(otherEntryRetryAfter)
	}
	w, ok := c.Workspace(x.Request().APIKey())
	if !ok {
		if age > f.MaxNegativeAge {
			return bergamotrequest.Refuse(bergamotrequest.ReasonStale, "no such key in a configuration that may be out of date").
				WithRetryAfter(otherEntryRetryAfter)
		}
		return bergamotrequest.Refuse(bergamotrequest.ReasonKey, "the key is missing or unknown")
	}
	x.SetWorkspace(w)
	return next.Handle(ctx, x)
}
