package bergamotrelay

import (
	"context"
	"time"

	"bergamotspur/core/bergamotrequest"
)

// Identify finds the workspace that holds the key of a request.
type Identify struct {
	Freshness Freshness
	Certain   time.Duration // age up to which the absence of a key is certain
	Most      time.Duration // age of the configuration up to which a key counts as still valid
}

// Name returns "identify".
func (f *Identify) Name() string { return "identify" }

// Filter refuses a request without a known key, and any request with a key while it may have been taken away without
// this entry knowing.
func (f *Identify) Filter(ctx context.Context, x *Exchange, next Handler) error {
	c := x.View().Config()
	if !c.RequiresKey() || x.Route().IsPublic() {
		return next.Handle(ctx, x)
	}
	age := f.Freshness.Age(x)
	if age > f.Most {
		return bergamotrequest.Refuse(bergamotrequest.ReasonStale, "the keys were last confirmed %s ago", age.Round(time.Millisecond)).
			WithRetryAfter(retryElsewhere)
	}
	w, ok := c.Workspace(x.Request().Key())
	if !ok {
		if age > f.Certain {
			return bergamotrequest.Refuse(bergamotrequest.ReasonStale, "no such key in a configuration that may be out of date").
				WithRetryAfter(retryElsewhere)
		}
		return bergamotrequest.Refuse(bergamotrequest.ReasonKey, "the key is missing or unknown")
	}
	x.SetWorkspace(w)
	return next.Handle(ctx, x)
}
