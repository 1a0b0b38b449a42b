package bergamotconfig

import "time"

// RouteType is the type of the requests of a route; it determines whether they may run more than once.
type RouteType int

// RouteNonIdempotent is the zero value, so that requests of a route of unknown type never run twice.
const (
	RouteNonIdempotent RouteType = iota // may run at most once
	RouteIdempotent                     // may run any number of times
	RouteStreaming                      // is answered by a stream of events and may run again if the stream is resumable
)

// RouteSpec holds the fields from which NewRoute builds a route.
type RouteSpec struct {
	Name          string
	Host          string
	Prefix        string // begins and ends with a slash
	Type          RouteType
	Timeout       time.Duration // maximum time that a caller waits, 0 for none
	TargetLatency time.Duration // time within which an answer or the first event of a stream has its full value
	TargetGap     time.Duration // longest pause between two events of a stream that is on time
	Priority      int           // 0 is the most urgent
	MaxAttempts   int           // maximum number of runners that may run a request
	Public        bool          // requests need no API key
	Resumable     bool          // a stream may continue on another runner
	Split         []Share       // services and their weights, at least one
}

// Share is the share of the requests of a route that goes to a service.
type Share struct {
	Service string
	Weight  float64
}

// Route maps the requests of a host and path prefix to services.
type Route struct{ spec RouteSpec }

// NewRoute returns a route with the fields of s.
func NewRoute(s RouteSpec) Route { return Route{spec: s} }

// Name returns the unique name.
func (r Route) Name() string { return r.spec.Name }

// Host returns the host name.
func (r Route) Host() string { return r.spec.Host }

// Prefix returns the path prefix.
func (r Route) Prefix() string { return r.spec.Prefix }

// IsStreaming reports whether the answer is a stream of events.
func (r Route) IsStreaming() bool { return r.spec.Type == RouteStreaming }

// IsResumable reports whether a stream that was interrupted may go on after one of its events.
func (r Route) IsResumable() bool { return r.IsStreaming() && r.spec.Resumable }

// IsRetryable reports whether a request may run more than once.
func (r Route) IsRetryable() bool {
	return r.spec.Type == RouteIdempotent || r.IsResumable()
}

// Timeout returns the maximum time that a caller waits, 0 for none.
func (r Route) Timeout() time.Duration { return r.spec.Timeout }

// TargetLatency returns the time within which an answer or the first event of a stream has its full value.
func (r Route) TargetLatency() time.Duration { return r.spec.TargetLatency }

// TargetGap returns the longest pause between two events of a stream that is on time.
func (r Route) TargetGap() time.Duration { return r.spec.TargetGap }

// Priority returns the priority; 0 is the most urgent.
func (r Route) Priority() int { return r.spec.Priority }

// MaxAttempts returns the maximum number of runners that may run a request, at least 1.
func (r Route) MaxAttempts() int { return max(r.spec.MaxAttempts, 1) }

// IsPublic reports whether requests need no API key.
func (r Route) IsPublic() bool { return r.spec.Public }

// SelectService returns the service for a request according to the weights, given a random number draw in [0, 1). It returns
// an empty name if the route has no services.
func (r Route) SelectService(draw float64) string {
	total := 0.0
	for _, s := range r.spec.Split {
		total += s.Weight
	}
	rest := draw * total
	for _, s := range r.spec.Split {
		if rest < s.Weight {
			return s.Service
		}
		rest -= s.Weight
	}
	if len(r.spec.Split) == 0 {
		return ""
	}
	return r.spec.Split[len(r.spec.Split)-1].Service
}
