package bergamotrelay

import (
	"context"
	"time"

	"bergamotspur/core/bergamotrequest"
)

// Freshness tells how old the configuration is.
type Freshness interface {
	// Age returns the time since the configuration of the exchange was last known to be current. It counts time in
	// which the machine was suspended.
	Age(x *Exchange) time.Duration
}

// Match finds the route and the service of a request.
type Match struct {
	Freshness Freshness
	Certain   time.Duration  // age up to which the absence of a route or key is certain
	Draw      func() float64 // from 0 (included) to 1 (excluded), chooses between the services of a route
}

// Name returns "match".
func (f *Match) Name() string { return "match" }

// Filter refuses a request without a route. While the configuration may be out of date it does not say that there is
// no route, since a newer version may have it.
func (f *Match) Filter(ctx context.Context, x *Exchange, next Handler) error {
	c := x.View().Config()
	if c == nil {
		return bergamotrequest.Refuse(bergamotrequest.ReasonBundle, "no configuration is known yet").WithRetryAfter(retryAfter)
	}
	r, ok := c.Match(x.Request().Host(), x.Request().Path())
	if !ok {
		if f.Freshness.Age(x) > f.Certain {
			return bergamotrequest.Refuse(bergamotrequest.ReasonStale, "no such route in a configuration that may be out of date").
				WithRetryAfter(retryElsewhere)
		}
		return bergamotrequest.Refuse(bergamotrequest.ReasonRoute, "no such route")
	}
	s, ok := c.Service(r.SelectService(f.Draw()))
	if !ok {
		return bergamotrequest.Refuse(bergamotrequest.ReasonService, "the route names no service").WithRetryAfter(retryAfter)
	}
	x.SetRoute(r, s)
	return next.Handle(ctx, x)
}
