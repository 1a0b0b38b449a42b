package bergamotrelay

import (
	"context"
	"time"

	"bergamotspur/core/bergamotrequest"
)

// Freshness returns the age of the configuration.
type Freshness interface {
	// Age returns the time since the configuration of the exchange was last confirmed as current, including time during
	// which the machine was suspended.
	Age(x *Exchange) time.Duration
}

// RouteMatcher determines the route and the service of a request.
type RouteMatcher struct {
	Freshness      Freshness
	MaxNegativeAge time.Duration  // age of the configuration up to which the absence of a route is conclusive
	Rand           func() float64 // from 0 (included) to 1 (excluded), selects a service of the route
}

// Name returns "match".
func (f *RouteMatcher) Name() string { return "match" }

// Filter refuses a request without a route. If the configuration may be out of date, the refusal asks the caller to
// retry, since a newer version may have the route.
func (f *RouteMatcher) Filter(ctx context.Context, x *Exchange, next Handler) error {
	c := x.View().Config()
	if c == nil {
		return bergamotrequest.Refuse(bergamotrequest.ReasonBundle, "no configuration is known yet").WithRetryAfter(defaultRetryAfter)
	}
	r, ok := c.Match(x.Request().Host(), x.Request().Path())
	if !ok {
		if f.Freshness.Age(x) > f.MaxNegativeAge {
			return bergamotrequest.Refuse(bergamotrequest.ReasonStale, "no such route in a configuration that may be out of date").
				WithRetryAfter(otherEntryRetryAfter)
		}
		return bergamotrequest.Refuse(bergamotrequest.ReasonRoute, "no such route")
	}
	s, ok := c.Service(r.SelectService(f.Rand()))
	if !ok {
		return bergamotrequest.Refuse(bergamotrequest.ReasonService, "the route names no service").WithRetryAfter(defaultRetryAfter)
	}
	x.SetRoute(r, s)
	return next.Handle(ctx, x)
}
