package bergamotconfig

import "time"

// Repeat tells how often a request of a route may run.
type Repeat int

// RepeatNever is the zero value, so that a route of an unknown kind is never repeated.
const (
	RepeatNever  Repeat = iota // at most once
	RepeatAny                  // any number of times
	RepeatStream               // a stream of events
)

// RouteSpec holds the fields from which NewRoute builds a route.
type RouteSpec struct {
	Name      string
	Host      string
	Prefix    string // begins and ends with a slash
	Repeat    Repeat
	Timeout   time.Duration // longest time that a caller is kept waiting
	Objective time.Duration // time within which an answer, or the first event, has its full benefit
	Gap       time.Duration // longest pause between two events of a stream that is on time
	Priority  int           // 0 is the most urgent
	Attempts  int           // most runners that may get one request
	Public    bool          // no key is needed
	Resumable bool          // a stream may go on at another runner
	Split     []Share       // services and their weights, at least one
}

// Share is the part of a route's requests that goes to one service.
type Share struct {
	Service string
	Weight  float64
}

// Route says where the requests of a host and path prefix go.
type Route struct{ spec RouteSpec }

// NewRoute returns a route with the fields of s.
func NewRoute(s RouteSpec) Route { return Route{spec: s} }

// Name returns the unique name.
func (r Route) Name() string { return r.spec.Name }

// Host returns the host name.
func (r Route) Host() string { return r.spec.Host }

// Prefix returns the beginning of the paths of the route.
func (r Route) Prefix() string { return r.spec.Prefix }

// Streaming tells whether the answer is a stream of events.
func (r Route) Streaming() bool { return r.spec.Repeat == RepeatStream }

// Repeatable tells whether a request may run more than once.
func (r Route) Repeatable() bool {
	return r.spec.Repeat == RepeatAny || r.spec.Repeat == RepeatStream && r.spec.Resumable
}

// Timeout returns the longest time that a caller is kept waiting, 0 for none.
func (r Route) Timeout() time.Duration { return r.spec.Timeout }

// Objective returns the time within which an answer or first event has its full benefit.
func (r Route) Objective() time.Duration { return r.spec.Objective }

// Gap returns the longest pause between two events of a stream that is on time.
func (r Route) Gap() time.Duration { return r.spec.Gap }

// Priority returns the rank; 0 is the most urgent.
func (r Route) Priority() int { return r.spec.Priority }

// Attempts returns the most runners that may run one request.
func (r Route) Attempts() int { return max(r.spec.Attempts, 1) }

// Public tells whether requests need no key.
func (r Route) Public() bool { return r.spec.Public }

// Service returns the service for a request, where draw is from 0 (included) to 1 (excluded).
func (r Route) Service(draw float64) string {
	sum := 0.0
	for _, s := range r.spec.Split {
		sum += s.Weight
	}
	at := draw * sum
	for _, s := range r.spec.Split {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	if len(r.spec.Split) == 0 {
		return ""
	}
	return r.spec.Split[len(r.spec.Split)-1].Service
}
