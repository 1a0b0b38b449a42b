package bergamotrelay

import (
	"context"
	"sync"
	"time"

	"bergamotspur/core/bergamotrate"
	"bergamotspur/core/bergamotrequest"
)

const (
	// preferTime is how long a request waits for a permit of the runner that suits it best before it takes another one. The owner of
	// the limits answers within a few milliseconds.
	preferTime = 40 * time.Millisecond
	// maxLimitWait is how long a request waits while all runners that could serve it are at their limits. Callers give up on a stream
	// that is silent for two seconds.
	maxLimitWait = 1200 * time.Millisecond
	// limitWaitShare is the share of the time left up to which a request waits there; the rest is for its answer.
	limitWaitShare = 1.0 / 3
	// permitInterval is the time between two queries of the request that is next for a permit.
	permitInterval = 40 * time.Millisecond
)

// Permits are the permits of runners that name limits.
type Permits interface {
	// Any reports whether any runner has a limit.
	Any() bool
	// MayTake reports whether a process has no limit, or there is a permit for it.
	MayTake(process string) bool
	// Take takes a permit of a process and reports whether there was one, or the process has no limit.
	Take(process string) bool
	// IsExhausted reports whether there was no permit of a process a moment ago.
	IsExhausted(process string) bool
	// Await asks for a permit of a process, waits for the answer, at most for a timeout, and reports whether there is one.
	Await(ctx context.Context, process string, timeout time.Duration) bool
	// Rate returns the limit of a process in requests a second; ok is false if it has none.
	Rate(process string) (rate float64, ok bool)
}

// LimitGate holds requests back while all runners that could serve them are at the limits that they have named, the most urgent first. A nil
// gate holds nothing back.
type LimitGate struct {
	Clock   Clock
	Permits Permits
	Views   Views
	// OnHeld is called for each request that has waited, or was refused.
	OnHeld func(x *Exchange, waited time.Duration, refused bool)

	mu     sync.Mutex
	queues map[string]*bergamotrate.Queue // by service
}

// runnerSearch looks for a runner for one request.
type runnerSearch struct {
	resumes bool // the caller has a part of the answer
	// atLimit returns the process of the runner that would be used without limits, if that is at its limit.
	atLimit func() (process string, ok bool)
	// take takes a runner and reports whether there was one.
	take func() bool
	// maxWait is how long the request waits for runners while there are none.
	maxWait time.Duration
	// forget drops what keeps the request from runners that failed it: one of them may be the only one left.
	forget func()
}

// pass calls take once a runner may get the request, and reports whether it got one. It returns a refusal if the request would have to wait
// for too long because of limits.
func (g *LimitGate) pass(ctx context.Context, x *Exchange, s runnerSearch) (ok bool, err error) {
	if g == nil || !g.Permits.Any() {
		return s.take(), nil
	}
	queue := g.queue(x.Service().Name())
	process, limited := s.atLimit()
	if limited && queue.IsEmpty() && !g.Permits.IsExhausted(process) {
		g.Permits.Await(ctx, process, preferTime)
	}
	if queue.IsEmpty() || !limited {
		if s.take() {
			return true, nil
		}
		if _, limited = s.atLimit(); !limited {
			return false, nil
		}
	}
	return g.wait(ctx, x, s, queue)
}

// wait lets the request wait in a queue.
func (g *LimitGate) wait(ctx context.Context, x *Exchange, s runnerSearch, queue *bergamotrate.Queue) (ok bool, err error) {
	began, pace := g.Clock.Now(), g.pace(x)
	bound := min(maxLimitWait, time.Duration(limitWaitShare*float64(x.Deadline().Sub(began))))
	urgency := bergamotrate.Urgency{Resumes: s.resumes, Priority: x.Priority(), Arrived: x.Request().ArrivedAt()}
	ticket, returnIn, joined := queue.Join(urgency, bound, pace)
	if !joined {
		g.OnHeld(x, 0, true)
		return false, g.refusal(x, returnIn)
	}
	served := false
	defer func() { ticket.Leave(served) }()
	timeout := g.Clock.After(bound)
	retry := (<-chan time.Time)(nil)
	for {
		select {
		case <-ticket.Turn():
		case <-retry:
		case <-ctx.Done():
			return false, refuseEnded(ctx)
		case <-timeout:
			g.OnHeld(x, g.Clock.Now().Sub(began), true)
			return false, g.refusal(x, queue.ReturnIn(pace))
		}
		retry = nil
		if !ticket.IsFirst() {
			continue
		}
		process, limited := s.atLimit()
		if limited {
			g.Permits.Await(ctx, process, permitInterval)
		}
		if served = s.take(); served || !limited {
			waited := g.Clock.Now().Sub(began)
			x.Trace().AddStep("waited " + waited.Round(time.Millisecond).String() + " at the limits of runners")
			g.OnHeld(x, waited, false)
			return served, nil
		}
		retry = g.Clock.After(permitInterval)
	}
}

// refusal returns the refusal of a request that no runner has run for the sake of limits.
func (g *LimitGate) refusal(x *Exchange, returnIn time.Duration) error {
	if returnIn <= 0 {
		returnIn = retryDelay(x, g.Clock.Now())
	}
	return bergamotrequest.Refuse(bergamotrequest.ReasonLimit, "all runners that could serve the request are at their limits").WithRetryAfter(returnIn)
}

func (g *LimitGate) queue(service string) *bergamotrate.Queue {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queues == nil {
		g.queues = map[string]*bergamotrate.Queue{}
	}
	if g.queues[service] == nil {
		g.queues[service] = &bergamotrate.Queue{Clock: g.Clock}
	}
	return g.queues[service]
}

// Waiting returns how many requests wait, for all services.
func (g *LimitGate) Waiting() (n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, l := range g.queues {
		n += l.Len()
	}
	return n
}

// pace returns how many requests a second the runners of a service take from callers. It is not known if one of them has no limit.
func (g *LimitGate) pace(x *Exchange) (p bergamotrate.Pace) {
	v := g.Views.View()
	p.Known = true
	for _, i := range v.Fleet().ByRole(x.Service().Name()) {
		if !i.Usable() || x.Service().Engine() != nil && (len(i.Holdings()) == 0 || i.Holdings()[0].From() > 0) {
			continue
		}
		rate, limited := g.Permits.Rate(i.Process())
		if !limited {
			return bergamotrate.Pace{}
		}
		p.All += rate
	}
	p.Part = p.All / float64(max(v.EntryCount(), 1))
	return p
}
