package bergamotrelay

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamotroute"
)

// hedgeDelayRatio is the share of the route's latency objective after which a repeatable call without a response is
// also sent to a second runner. It is late enough that few calls of normal duration are hedged, and early enough
// that the second response arrives within the objective.
const hedgeDelayRatio = 0.5

// CallHandler is the handler for requests that are answered as a whole.
type CallHandler struct {
	Clock      Clock
	Upstream   Upstream
	Runners    Runners
	Views      Views
	Budget     Budget
	Quarantine *Quarantine
	Gate       *LimitGate // nil for none
	// MayLackLinks reports whether this entry may have lost its links to all runners, as far as it can know within milliseconds; nil for
	// never.
	MayLackLinks func() bool
	// ExpectedTime returns how long a call may take, going by recent ones; nil for its deadline.
	ExpectedTime func(x *Exchange) time.Duration
}

// attemptResult is the response or the failure of one attempt.
type attemptResult struct {
	plan     bergamotroute.Plan
	helper   string // the entry over which the attempt went, empty for none
	hasBegun bool   // the header of a response has arrived
	status   int
	fields   Fields
	body     []byte
	failure  *Failure
	step     string // what the failure shows of its runner, empty for nothing
	// unstarted is the process that crashed before it began to answer a request which may only have waited there; empty for none.
	unstarted string
}

// answers holds the responses of a call until its reply has been sent, since their bodies need memory until then.
type answers struct {
	mu    sync.Mutex
	open  []Response
	ended bool
}

// keep closes a response at the end of the call, at once if that has passed.
func (a *answers) keep(r Response) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		r.Close()
		return
	}
	a.open = append(a.open, r)
}

// end closes all responses.
func (a *answers) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, r := range a.open {
		r.Close()
	}
	a.ended = true
}

// callState holds the progress of one exchange.
type callState struct {
	handler      *CallHandler
	x            *Exchange
	tried        map[string]bool // runners that got an attempt as the first of its plan, or that failed one
	inFlight     int             // attempts without a result
	possibleRuns int             // attempts that may have run the call to completion
	attempts     int             // attempts so far
	results      chan attemptResult
	failure      *Failure // failure of the last attempt
	heldBack     error    // refusal of a retry because of the limits of runners, nil for none
	linkRounds   linkRounds
	trial        *trial
	answers      answers
	fallback     *attemptResult // 5xx response of an attempt, returned if no later attempt gives a better one
}

// Handle sends the call to a runner, and to another one if the first certainly did not run it or the route allows
// repeated runs. It returns a *bergamotrequest.Refusal when there is no response.
func (h *CallHandler) Handle(ctx context.Context, x *Exchange) error {
	maxAttempts := x.Route().MaxAttempts() + extraAttempts
	c := &callState{handler: h, x: x, tried: map[string]bool{}, results: make(chan attemptResult, maxAttempts)}
	defer c.answers.end()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h.Budget.RecordFirst(x.Service().Name())
	t, err := h.Quarantine.begin(ctx, x)
	if err != nil {
		return err
	}
	c.trial = t
	defer t.finish()
	started, err := c.awaitAttempt(ctx)
	if err != nil {
		return err
	}
	if !started && ctx.Err() != nil {
		return refuseEnded(ctx)
	}
	if !started {
		return refuseUnavailable(h.Runners, x)
	}
	var hedge <-chan time.Time
	if x.Route().IsRetryable() && x.Route().MaxAttempts() > 1 {
		hedge = h.Clock.After(time.Duration(hedgeDelayRatio * float64(x.Route().TargetLatency())))
	}
	for {
		select {
		case result := <-c.results:
			if c.recordResult(result) {
				return c.reply(result)
			}
			if ctx.Err() == nil && c.takeRetry() && c.retry(ctx) {
				continue
			}
			if c.inFlight == 0 && c.fallback != nil {
				return c.reply(*c.fallback)
			}
			if c.inFlight == 0 && (!c.awaitLinks(ctx) || !c.startAttempt(ctx)) {
				return c.refuse(ctx)
			}
		case <-hedge:
			hedge = nil
			// A suspect may make the second runner crash too.
			if c.attempts < x.Route().MaxAttempts() && !t.suspect.Load() && h.Budget.Take(x.Service().Name()) {
				c.startAttempt(ctx)
			}
		case <-ctx.Done():
			if c.fallback != nil {
				return c.reply(*c.fallback)
			}
			return c.refuse(ctx)
		}
	}
}

func (c *callState) reply(result attemptResult) error {
	c.x.Trace().RecordChunk(c.handler.Clock.Now(), result.status)
	return c.x.Sink().Reply(result.status, result.fields, result.body)
}

// awaitAttempt starts an attempt, waiting for runners and for their limits, and reports whether it has started one. It returns a refusal if
// it would have to wait for too long because of limits.
func (c *callState) awaitAttempt(ctx context.Context) (started bool, err error) {
	h := c.handler
	return awaitRunners(ctx, h.Clock, h.Gate, c.x, runnerSearch{
		atLimit: func() (process string, ok bool) { return h.Runners.atLimit(c.x, c.tried) },
		take:    func() bool { return c.startAttempt(ctx) },
		maxWait: h.Runners.maxWait(),
		forget:  func() { c.tried = map[string]bool{} },
	})
}

// retry starts another attempt and reports whether it has. It waits for runners only while there is nothing else to wait for or to return.
func (c *callState) retry(ctx context.Context) (started bool) {
	if c.startAttempt(ctx) {
		return true
	}
	if c.inFlight > 0 || c.fallback != nil || c.handler.Runners.maxWait() == 0 || c.attempts >= cap(c.results) {
		return false
	}
	started, c.heldBack = c.awaitAttempt(ctx)
	return started
}

// startAttempt starts an attempt at runners that no other attempt has tried, and reports whether there were any.
func (c *callState) startAttempt(ctx context.Context) bool {
	h := c.handler
	if c.attempts >= cap(c.results) {
		return false
	}
	p, ok := h.Runners.reserve(c.x, c.tried)
	if !ok {
		return false
	}
	v := h.Views.View()
	if c.hasLayers() {
		p = isolate(h.Runners, v, c.trial, p, c.tried)
	}
	c.tried[p.Stages()[0].Instance()] = true
	c.attempts++
	c.inFlight++
	c.x.Trace().RecordAttempt(formatPlan(p))
	a := newAttempt(c.x, p, v, h.Clock.Now())
	if a.need > 0 && h.ExpectedTime != nil {
		a.need = min(a.need, h.ExpectedTime(c.x))
	}
	runner, known := firstRunner(v, p)
	wasSuspect := c.trial.suspect.Load()
	go func() {
		result := h.sendAttempt(ctx, a, &c.answers)
		result.plan = p
		h.Runners.release(c.x, p)
		f := result.failure
		if f != nil && f.isOfRunner() && f.reason != bergamotrequest.ReasonSuspect {
			result.step = h.Runners.recordFailure(p, f)
		}
		if f != nil && known && ctx.Err() == nil && f.reason == bergamotrequest.ReasonTarget && f.runState != bergamotrequest.RunNo {
			c.checkCrash(ctx, runner, wasSuspect, &result)
		}
		c.results <- result
	}()
	return true
}

// hasLayers reports whether the runners of the call hold layers of a model. They run many requests together, so that the crash of one
// breaks off calls that only waited there.
func (c *callState) hasLayers() bool { return c.x.Service().Engine() != nil }

// checkCrash checks whether a runner that broke off the call has crashed.
func (c *callState) checkCrash(ctx context.Context, i bergamotfleet.Instance, wasSuspect bool, result *attemptResult) {
	if !c.hasLayers() || result.hasBegun {
		c.trial.checkCrash(ctx, i, wasSuspect)
		return
	}
	if c.handler.Quarantine.hasCrashed(ctx, i) {
		result.unstarted = i.Process()
	}
}

func (h *CallHandler) sendAttempt(ctx context.Context, a Attempt, open *answers) (result attemptResult) {
	a.onDetour = func(helper string) { result.helper = helper }
	response, err := h.Upstream.Send(ctx, a)
	if err != nil {
		result.failure = asFailure(failureCause(ctx, err))
		return result
	}
	result.hasBegun = true
	if result.body, err = response.Body(); err != nil {
		response.Close()
		result.failure = asFailure(failureCause(ctx, err))
		return result
	}
	open.keep(response)
	result.status, result.fields = response.Status(), response.Fields()
	return result
}

// recordResult records the result of an attempt and reports whether it is the response to return.
func (c *callState) recordResult(result attemptResult) bool {
	c.inFlight--
	if result.helper != "" {
		c.x.Trace().RecordDetour(result.helper)
	}
	if result.failure == nil {
		c.trial.answered()
		if result.status < http.StatusInternalServerError || !c.x.Route().IsRetryable() || c.fallback != nil {
			return true
		}
		// The runner failed a call that may be repeated, so another runner is tried first.
		c.fallback, c.possibleRuns = &result, c.possibleRuns+1
		c.failure = NewFailure(bergamotrequest.RunYes, bergamotrequest.ReasonTarget, fmt.Errorf("status %d", result.status))
		c.x.Trace().RecordFailure(runnerAt(result.plan, ""), c.failure)
		return false
	}
	f := result.failure
	c.failure = f
	name := runnerAt(result.plan, f.faultAddress)
	c.x.Trace().RecordFailure(name, f)
	if f.runState != bergamotrequest.RunNo {
		c.possibleRuns++
	}
	if f.isOfRunner() {
		c.tried[name] = true
	}
	if result.step != "" {
		c.x.Trace().AddStep(result.step)
	}
	if result.unstarted != "" {
		c.trial.addUnstarted(result.unstarted)
	}
	return false
}

// takeRetry reports whether the call may be sent to another runner, and takes the retry from the budget.
func (c *callState) takeRetry() bool {
	switch {
	case c.failure.runState != bergamotrequest.RunNo && (!c.x.Route().IsRetryable() || c.possibleRuns >= c.x.Route().MaxAttempts()):
		return false
	case c.inFlight > 0 || c.failure.isOfLink() && c.failure.runState == bergamotrequest.RunNo:
		return false // without links, another runner is not reached either
	case c.handler.Quarantine.isConfirmed(c.x):
		c.x.Trace().AddStep("not sent again, since runners crashed")
		return false
	case c.failure.unsent && c.handler.mayLackLinks():
		return true // nothing has reached a runner, and the links are at fault
	case !c.handler.Budget.Take(c.x.Service().Name()):
		c.x.Trace().AddStep("no retry budget")
		return false
	}
	return true
}

func (h *CallHandler) mayLackLinks() bool { return h.MayLackLinks != nil && h.MayLackLinks() }

// awaitLinks waits for a moment if the call has reached no runner although they may all be well, and reports whether it may be tried at all of
// them again.
func (c *callState) awaitLinks(ctx context.Context) bool {
	h := c.handler
	if !c.linkRounds.await(ctx, h.Clock, c.x, c.failure, c.possibleRuns, h.MayLackLinks) {
		return false
	}
	c.tried, c.attempts = map[string]bool{}, 0
	return true
}

// refuse returns a refusal that states why there is no response.
func (c *callState) refuse(ctx context.Context) error {
	runState := bergamotrequest.RunNo
	if c.inFlight > 0 || c.possibleRuns > 0 || c.failure != nil && c.failure.runState != bergamotrequest.RunNo {
		runState = bergamotrequest.RunUnknown
	}
	if ctx.Err() != nil {
		return refuseEnded(ctx).WithRun(runState)
	}
	if c.heldBack != nil {
		return bergamotrequest.AsRefusal(c.heldBack).WithRun(runState)
	}
	return bergamotrequest.Refuse(c.failure.reason, "%s", c.failure.Error()).WithRun(runState).WithRetryAfter(c.handler.Runners.returnIn(c.x))
}
