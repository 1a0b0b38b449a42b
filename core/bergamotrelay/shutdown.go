package bergamotrelay

import (
	"context"
	"errors"
	"sync"
	"time"

	"bergamotspur/core/bergamotrequest"
)

const (
	// shutdownRetryAfter is roughly the time until a stopping entry has been replaced or another entry accepts its callers.
	shutdownRetryAfter = time.Second
	// callTimeFactor is the expected longest time of a call as a multiple of the longest recent one of its route.
	callTimeFactor = 1.15
	// callTimeWindow is the shortest time for which a call counts as recent.
	callTimeWindow = time.Minute
	// Without a recent call of a route, a call is expected to take latencyTimeFactor times the target latency of the
	// route, or defaultCallTime if that is longer.
	latencyTimeFactor = 4
	defaultCallTime   = 1200 * time.Millisecond
)

var errStopping = errors.New("the entry is stopping")

// ShutdownFilter keeps a stopping entry from accepting requests that it cannot finish, and ends those in flight before the
// process exits, so that their callers get an answer.
type ShutdownFilter struct {
	Clock Clock

	once      sync.Once
	mu        sync.Mutex
	callTimes callTimes
	stopping  *shutdown // nil until Start
	ended     context.Context
	end       context.CancelFunc
}

// shutdown holds the times of the shutdown of an entry.
type shutdown struct {
	streamsUntil time.Time // until then streams are accepted
	end          time.Time // by then all answers are complete
}

// Name returns "stopping".
func (f *ShutdownFilter) Name() string { return "stopping" }

// Start begins the shutdown. Streams that may last longer than until end are accepted until streamsUntil, while the balancer
// still sends new ones, and calls that may, while recent ones took less than the time left.
func (f *ShutdownFilter) Start(streamsUntil, end time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopping = &shutdown{streamsUntil: streamsUntil, end: end}
}

// End ends the requests in flight: those that no runner has run are refused, the others fail.
func (f *ShutdownFilter) End() {
	f.init()
	f.end()
}

func (f *ShutdownFilter) init() {
	f.once.Do(func() { f.ended, f.end = context.WithCancel(context.Background()) })
}

// Filter refuses a request that the entry cannot be expected to finish before it exits. It has to come after Deadline.
func (f *ShutdownFilter) Filter(ctx context.Context, x *Exchange, next Handler) error {
	f.init()
	if !f.accepts(x) {
		return refuseStopping()
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(f.ended, func() {
		cancel(NewFailure(bergamotrequest.RunUnknown, bergamotrequest.ReasonDrain, errStopping))
	})
	defer stop()
	err := next.Handle(ctx, x)
	// Calls without an answer have run into their timeout, which accepts looks at, or their runner failed.
	if err == nil && !x.Route().IsStreaming() && x.Trace().Attempts() > 0 {
		now := f.Clock.Now()
		f.mu.Lock()
		f.callTimes.record(x.Route().Name(), now.Sub(x.Request().ArrivedAt()), now)
		f.mu.Unlock()
	}
	return err
}

// ExpectedTime returns how long a call may take, going by the recent ones of its route.
func (f *ShutdownFilter) ExpectedTime(x *Exchange) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.expectedCallTime(x)
}

// accepts reports whether the entry can be expected to finish a request, whose answer or timeout must come before it exits.
func (f *ShutdownFilter) accepts(x *Exchange) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopping == nil || !x.Deadline().After(f.stopping.end) {
		return true
	}
	now := f.Clock.Now()
	if x.Route().IsStreaming() {
		return now.Before(f.stopping.streamsUntil)
	}
	return !now.Add(f.expectedCallTime(x)).After(f.stopping.end)
}

// expectedCallTime returns how long a call of the route of x may take.
func (f *ShutdownFilter) expectedCallTime(x *Exchange) time.Duration {
	if longest := f.callTimes.longest(x.Route().Name()); longest > 0 {
		return time.Duration(callTimeFactor * float64(longest))
	}
	return max(latencyTimeFactor*x.Route().TargetLatency(), defaultCallTime)
}

func refuseStopping() *bergamotrequest.Refusal {
	return bergamotrequest.Refuse(bergamotrequest.ReasonDrain, "%v", errStopping).WithRetryAfter(shutdownRetryAfter)
}

// refuseEnded returns the refusal of a request whose context has ended.
func refuseEnded(ctx context.Context) *bergamotrequest.Refusal {
	switch {
	case errors.Is(context.Cause(ctx), errStopping):
		return refuseStopping()
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return bergamotrequest.Refuse(bergamotrequest.ReasonDeadline, "the time is over")
	default:
		return bergamotrequest.Refuse(bergamotrequest.ReasonCancel, "the caller went away")
	}
}

// callTimes holds the longest time of recent calls of each route. Routes without a call for two windows are forgotten.
type callTimes struct {
	began   time.Time                // of the current window
	current map[string]time.Duration // by route
	last    map[string]time.Duration // of the window before
}

func (c *callTimes) record(route string, d time.Duration, now time.Time) {
	if c.current == nil || now.Sub(c.began) >= callTimeWindow {
		c.last, c.current, c.began = c.current, map[string]time.Duration{}, now
	}
	c.current[route] = max(c.current[route], d)
}

func (c *callTimes) longest(route string) time.Duration { return max(c.current[route], c.last[route]) }
