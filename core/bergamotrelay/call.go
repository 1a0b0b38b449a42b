package bergamotrelay

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotpath"
	"bergamotspur/core/bergamotrequest"
)

const (
	// hedgeDelayRatio is the share of the route's latency objective after which a repeatable call without a response is
	// also sent to a second runner. It is late enough that few calls of normal duration are hedged, and early enough
	// that the second response arrives within the objective.
	hedgeDelayRatio = 0.5
	// remotePenalty is added to the number of calls in flight of a runner in another data centre, so that a local
	// runner is preferred at a similar load.
	remotePenalty = 0.5
	// maxLinkRounds is how often a call that reached no runner is tried at all of them again while the links of the entry are in doubt, and
	// linkRoundDelay the time before that. By then the entry has found others over which it reaches them, or knows that there are none.
	maxLinkRounds  = 3
	linkRoundDelay = 60 * time.Millisecond
)

// CallHandler is the handler for requests to services without a model engine.
type CallHandler struct {
	Clock      Clock
	Upstream   Upstream
	Views      Views
	Budget     Budget
	Observer   Observer
	Quarantine *Quarantine
	Centre     string      // data centre of this entry
	Avoid      interface { // records the runners to avoid for a while
		Avoid(runner string, d time.Duration)
		IsAvoided(runner string) bool
	}
	Exclusions *bergamotpath.Exclusions // runners that asked for no more requests
	Gate       *LimitGate               // nil for none
	// MayLackLinks reports whether this entry may have lost its links to all runners, as far as it can know within milliseconds; nil for
	// never.
	MayLackLinks func() bool
	// ExpectedTime returns how long a call may take, going by recent ones; nil for its deadline.
	ExpectedTime func(x *Exchange) time.Duration

	mu       sync.Mutex
	inFlight map[string]int // calls in flight by runner
}

// attemptResult is the response or the failure of one attempt.
type attemptResult struct {
	runner  string
	helper  string // the entry over which the attempt went, empty for none
	status  int
	fields  Fields
	body    []byte
	failure *Failure
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
	tried        map[string]bool // runners that an attempt was sent to
	inFlight     int             // attempts without a result
	possibleRuns int             // attempts that may have run the call to completion
	attempts     int             // attempts so far
	results      chan attemptResult
	failure      *Failure // failure of the last attempt
	linkRounds   int      // how often all runners were tried again because of the links
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
	defer t.end()
	started, err := h.Gate.pass(ctx, x, runnerSearch{
		atLimit: func() (process string, ok bool) { return h.atLimit(x, c.tried) },
		take:    func() bool { return c.startAttempt(ctx) },
	})
	if err != nil {
		return err
	}
	if !started {
		return bergamotrequest.Refuse(bergamotrequest.ReasonTarget, "no runner of the service is usable").WithRetryAfter(c.retryAfter())
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
			if ctx.Err() == nil && c.takeRetry() && c.startAttempt(ctx) {
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
			if c.attempts < x.Route().MaxAttempts() && h.Budget.Take(x.Service().Name()) {
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

// startAttempt starts an attempt at the least loaded runner and reports whether a runner was available.
func (c *callState) startAttempt(ctx context.Context) bool {
	h := c.handler
	if c.attempts >= cap(c.results) {
		return false
	}
	instance, ok := h.acquireRunner(c.x, c.tried)
	if !ok {
		return false
	}
	c.tried[instance.Name()] = true
	c.attempts++
	c.inFlight++
	c.x.Trace().RecordAttempt(instance.Name())
	a := Attempt{
		request: c.x.Request(), runner: instance.Name(), process: instance.Process(), address: instance.Address(), workspace: c.x.Workspace().Name(),
		timeout: c.x.Deadline().Sub(h.Clock.Now()), resumeAfter: -1, priority: c.x.Priority(),
	}
	if !c.x.Route().IsRetryable() {
		a.need = a.timeout
		if h.ExpectedTime != nil {
			a.need = min(a.need, h.ExpectedTime(c.x))
		}
	}
	wasSuspect := c.trial.suspect.Load()
	go func() {
		result := h.sendAttempt(ctx, a, &c.answers)
		h.releaseRunner(instance.Name())
		if f := result.failure; f != nil && ctx.Err() == nil && f.reason == bergamotrequest.ReasonTarget && f.runState != bergamotrequest.RunNo {
			c.trial.checkCrash(ctx, instance, wasSuspect)
		}
		c.results <- result
	}()
	return true
}

func (h *CallHandler) sendAttempt(ctx context.Context, a Attempt, open *answers) (result attemptResult) {
	result.runner = a.runner
	a.onDetour = func(helper string) { result.helper = helper }
	response, err := h.Upstream.Send(ctx, a)
	if err != nil {
		result.failure = asFailure(failureCause(ctx, err))
		return result
	}
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
		c.x.Trace().RecordFailure(result.runner, c.failure)
		return false
	}
	f := result.failure
	c.failure = f
	c.x.Trace().RecordFailure(result.runner, f)
	if f.runState != bergamotrequest.RunNo {
		c.possibleRuns++
	}
	if !f.isEnd() && !f.isOfLink() {
		c.handler.Avoid.Avoid(result.runner, avoidDuration)
		if f.reason != bergamotrequest.ReasonFull {
			c.handler.Observer.RunnerFailed(result.runner, f.Error())
		}
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
// them again. Nothing was sent to any of them.
func (c *callState) awaitLinks(ctx context.Context) bool {
	h := c.handler
	isUnreached := c.possibleRuns == 0 && c.failure.runState == bergamotrequest.RunNo && c.failure.reason == bergamotrequest.ReasonTarget
	if !isUnreached || !h.mayLackLinks() || c.linkRounds >= maxLinkRounds {
		return false
	}
	c.linkRounds++
	select {
	case <-ctx.Done():
		return false
	case <-h.Clock.After(linkRoundDelay):
	}
	c.x.Trace().AddStep("tried again, since the links are in doubt")
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
	return bergamotrequest.Refuse(c.failure.reason, "%s", c.failure.Error()).WithRun(runState).WithRetryAfter(c.retryAfter())
}

// retryAfter returns the Retry-After time of a refusal: when all runners asked for a pause, the time until the first one
// takes requests again.
func (c *callState) retryAfter() time.Duration {
	h := c.handler
	first, paused := time.Duration(0), false
	for _, instance := range h.Views.View().Fleet().ByRole(c.x.Service().Name()) {
		if instance.Leaving() {
			continue
		}
		free := h.Exclusions.FreeIn(instance.Process())
		if free == 0 {
			return retryDelay(c.x, h.Clock.Now())
		}
		if !paused || free < first {
			first, paused = free, true
		}
	}
	return max(first, retryDelay(c.x, h.Clock.Now()))
}

// acquireRunner returns the usable runner with the fewest calls in flight per slot and counts one more call for it. It takes a permit if the
// runner has a limit.
func (h *CallHandler) acquireRunner(x *Exchange, tried map[string]bool) (best bergamotfleet.Instance, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if best, ok = h.chooseRunner(x, tried, true); !ok || !h.Gate.take(best.Process()) {
		return best, false
	}
	if h.inFlight == nil {
		h.inFlight = map[string]int{}
	}
	h.inFlight[best.Name()]++
	return best, true
}

// atLimit returns the process of the runner that acquireRunner would return without limits, if that is at its limit.
func (h *CallHandler) atLimit(x *Exchange, tried map[string]bool) (process string, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	best, found := h.chooseRunner(x, tried, false)
	return best.Process(), found && !h.Gate.mayTake(best.Process())
}

// chooseRunner returns the usable runner with the fewest calls in flight per slot. Unless heed is set, it takes no account of the limits of
// runners. The caller holds the lock.
func (h *CallHandler) chooseRunner(x *Exchange, tried map[string]bool, heed bool) (best bergamotfleet.Instance, ok bool) {
	minCost := 0.0
	for _, includeSuspects := range []bool{false, true} {
		for _, instance := range h.Views.View().Fleet().ByRole(x.Service().Name()) {
			if h.Exclusions.IsExcluded(instance.Process()) || heed && !h.Gate.mayTake(instance.Process()) {
				continue
			}
			// The second pass includes runners that failed recently: a call that they reject costs little.
			if tried[instance.Name()] || instance.Leaving() || !includeSuspects && (instance.Failed() || h.Avoid.IsAvoided(instance.Name())) {
				continue
			}
			cost := float64(h.inFlight[instance.Name()]) / float64(max(instance.Slots(), 1))
			if instance.DataCentre() != h.Centre {
				cost += remotePenalty / float64(max(instance.Slots(), 1))
			}
			if !ok || cost < minCost {
				best, minCost, ok = instance, cost, true
			}
		}
		if ok {
			return best, true
		}
	}
	return best, false
}

// releaseRunner ends a call that acquireRunner has counted.
func (h *CallHandler) releaseRunner(runner string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.inFlight[runner]--; h.inFlight[runner] <= 0 {
		delete(h.inFlight, runner)
	}
}
