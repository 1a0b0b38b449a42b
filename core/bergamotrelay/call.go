package bergamotrelay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotrequest"
)

const (
	// hedgeShare is the part of the objective after which a repeatable call that has no answer goes to a second
	// runner: late enough that few calls of usual length do, early enough that the second answer is on time.
	hedgeShare = 0.5
	// remoteWork is how much more work a runner of the own data centre may have than a remote one to be preferred.
	remoteWork = 0.5
)

// Call is the handler for requests of plain services.
type Call struct {
	Clock    Clock
	Upstream Upstream
	Views    Views
	Budget   Budget
	Observer Observer
	Centre   string      // data centre of the entry
	Avoid    interface { // runners that get no work for a while
		Avoid(runner string, d time.Duration)
		Avoided(runner string) bool
	}

	mu   sync.Mutex
	work map[string]int // calls in flight by runner
}

// outcome is the end of one attempt.
type outcome struct {
	runner  string
	status  int
	fields  Fields
	body    []byte
	failure *Failure
}

// call is the progress of one exchange.
type call struct {
	handler  *Call
	x        *Exchange
	tried    map[string]bool
	running  int
	ran      int
	sends    int
	results  chan outcome
	failure  *Failure
	fallback *outcome // an answer that says that the runner failed, kept for the case that no better one comes
}

// Handle sends the call to a runner. It goes to another one when it was certainly not run, or may be repeated.
func (h *Call) Handle(ctx context.Context, x *Exchange) error {
	most := x.Route().Attempts() + extraSends
	c := &call{handler: h, x: x, tried: map[string]bool{}, results: make(chan outcome, most)}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h.Budget.First(x.Service().Name())
	if !c.send(ctx) {
		return bergamotrequest.Refuse(bergamotrequest.ReasonTarget, "no runner of the service is usable").RetryAfter(comeBack(x, h.Clock.Now()))
	}
	var hedge <-chan time.Time
	if x.Route().Repeatable() && x.Route().Attempts() > 1 {
		hedge = h.Clock.After(time.Duration(hedgeShare * float64(x.Route().Objective())))
	}
	for {
		select {
		case o := <-c.results:
			if c.finish(o) {
				return c.reply(o)
			}
			if ctx.Err() == nil && c.mayRepeat() && c.send(ctx) {
				continue
			}
			if c.running == 0 && c.fallback != nil {
				return c.reply(*c.fallback)
			}
			if c.running == 0 {
				return c.refuse(ctx)
			}
		case <-hedge:
			hedge = nil
			if c.sends < x.Route().Attempts() && h.Budget.Take(x.Service().Name()) {
				c.send(ctx)
			}
		case <-ctx.Done():
			if c.fallback != nil {
				return c.reply(*c.fallback)
			}
			return c.refuse(ctx)
		}
	}
}

func (c *call) reply(o outcome) error {
	c.x.Trace().Answered(c.handler.Clock.Now(), o.status)
	return c.x.Sink().Reply(o.status, o.fields, o.body)
}

// send starts an attempt at the runner with the least work and tells whether there is one.
func (c *call) send(ctx context.Context) bool {
	h := c.handler
	if c.sends >= cap(c.results) {
		return false
	}
	i, ok := h.pick(c.x, c.tried)
	if !ok {
		return false
	}
	c.tried[i.Name()] = true
	c.sends++
	c.running++
	c.x.Trace().Sent(i.Name())
	a := Attempt{
		request: c.x.Request(), runner: i.Name(), address: i.Address(), workspace: c.x.Workspace().Name(),
		left: c.x.Deadline().Sub(h.Clock.Now()), position: -1, priority: c.x.Priority(),
	}
	go func() {
		o := h.run(ctx, a)
		h.leave(i.Name())
		c.results <- o
	}()
	return true
}

func (h *Call) run(ctx context.Context, a Attempt) (o outcome) {
	o.runner = a.runner
	answer, err := h.Upstream.Open(ctx, a)
	if err != nil {
		o.failure = asFailure(cause(ctx, err))
		return o
	}
	defer answer.Close()
	if o.body, err = answer.Body(); err != nil {
		o.failure = asFailure(cause(ctx, err))
		return o
	}
	o.status, o.fields = answer.Status(), answer.Fields()
	return o
}

// finish takes the end of an attempt and tells whether it is an answer.
func (c *call) finish(o outcome) bool {
	c.running--
	if o.failure == nil {
		if o.status < http.StatusInternalServerError || !c.x.Route().Repeatable() || c.fallback != nil {
			return true
		}
		// The runner failed at a call that may be repeated; another one may do better.
		c.fallback, c.ran = &o, c.ran+1
		c.failure = NewFailure(bergamotrequest.RunYes, bergamotrequest.ReasonTarget, fmt.Errorf("status %d", o.status))
		c.x.Trace().Fail(o.runner, c.failure)
		return false
	}
	f := o.failure
	c.failure = f
	c.x.Trace().Fail(o.runner, f)
	if f.run != bergamotrequest.RunNo {
		c.ran++
	}
	if f.reason != bergamotrequest.ReasonCancel && f.reason != bergamotrequest.ReasonDeadline {
		c.handler.Avoid.Avoid(o.runner, avoidTime)
		if f.reason != bergamotrequest.ReasonFull {
			c.handler.Observer.Failed(o.runner, f.Error())
		}
	}
	return false
}

func (c *call) mayRepeat() bool {
	switch {
	case c.failure.run != bergamotrequest.RunNo && (!c.x.Route().Repeatable() || c.ran >= c.x.Route().Attempts()):
		return false
	case c.running > 0:
		return false
	case !c.handler.Budget.Take(c.x.Service().Name()):
		c.x.Trace().Add("no retry budget")
		return false
	}
	return true
}

func (c *call) refuse(ctx context.Context) error {
	run := bergamotrequest.RunNo
	if c.running > 0 || c.ran > 0 || c.failure != nil && c.failure.run != bergamotrequest.RunNo {
		run = bergamotrequest.RunUnknown
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return bergamotrequest.Refuse(bergamotrequest.ReasonDeadline, "the time is over").Ran(run)
	case ctx.Err() != nil:
		return bergamotrequest.Refuse(bergamotrequest.ReasonCancel, "the caller went away").Ran(run)
	default:
		return bergamotrequest.Refuse(c.failure.reason, "%s", c.failure.Error()).Ran(run).RetryAfter(comeBack(c.x, c.handler.Clock.Now()))
	}
}

// pick returns the usable runner with the least work for its slots and counts one more call there.
func (h *Call) pick(x *Exchange, tried map[string]bool) (best bergamotfleet.Instance, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.work == nil {
		h.work = map[string]int{}
	}
	least := 0.0
	for _, pass := range []bool{false, true} {
		for _, i := range h.Views.View().Fleet().ByRole(x.Service().Name()) {
			// Runners that failed lately are better than none: a call that they reject costs little.
			if tried[i.Name()] || i.Leaving() || !pass && (i.Failed() || h.Avoid.Avoided(i.Name())) {
				continue
			}
			cost := float64(h.work[i.Name()]) / float64(max(i.Slots(), 1))
			if i.DataCentre() != h.Centre {
				cost += remoteWork / float64(max(i.Slots(), 1))
			}
			if !ok || cost < least {
				best, least, ok = i, cost, true
			}
		}
		if ok {
			h.work[best.Name()]++
			return best, true
		}
	}
	return best, false
}

func (h *Call) leave(runner string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.work[runner]--; h.work[runner] <= 0 {
		delete(h.work, runner)
	}
}
