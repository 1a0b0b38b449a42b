package bergamotrelay

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"sync/atomic"
	"time"

	"bergamotspur/core/bergamotcluster"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotpath"
	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamotroute"
)

const (
	// maxPathWait is how long a request waits for a path. Repairing the layers takes about a second, and callers give
	// up on a stream that is silent for two.
	maxPathWait = 1200 * time.Millisecond
	// pathPollInterval is the time between two searches for a path; a search takes a few microseconds.
	pathPollInterval = 40 * time.Millisecond
	// maxIsolationPaths is how many paths a suspect tries in search of a first runner without another suspect.
	maxIsolationPaths = 4
	minTimedEvents    = 10 // fewest events of an attempt from which the time per event is measured
)

// errNoEvent is the cause of the failure of a stream that ends before its first event. Where the answer has neither a length
// nor chunks, the crash of a runner looks like the end of the stream, also of one that resumes after its last event.
var errNoEvent = errors.New("the stream ends without an event")

// Clock provides the current time and timers.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// Budget limits the retries of each service.
type Budget interface {
	// RecordFirst counts a first attempt, which raises the budget.
	RecordFirst(service string)
	// Take takes a retry and reports whether the budget allows it.
	Take(service string) bool
	// TakeWithin is like Take, but allows a retry only while less than the given share, from 0 to 1, of the budget is
	// used.
	TakeWithin(service string, share float64) bool
}

// Observer is notified of runners that fail. Its methods never block.
type Observer interface {
	RunnerFailed(runner, cause string)
}

// Views returns the latest control state.
type Views interface {
	View() *bergamotcluster.View
}

// StreamHandler is the handler for requests that a model answers with a stream. Where the route allows it, an
// interrupted stream is resumed on another path after the last event that the caller received.
type StreamHandler struct {
	Clock         Clock
	Upstream      Upstream
	Router        *bergamotpath.Router
	Views         Views
	Budget        Budget
	Observer      Observer
	StallDetector *StallDetector
	Quarantine    *Quarantine
	Links         Links
	Gate          *LimitGate // nil for none
	// MayLackLinks is that of CallHandler.
	MayLackLinks func() bool
}

// Links tells what is known of the links of this entry to the runners.
type Links interface {
	// SilentSince returns since when connections to runners that were open then are silent; ok is false if they are not.
	SilentSince() (t time.Time, ok bool)
}

// streamState holds the progress of one exchange.
type streamState struct {
	handler      *StreamHandler
	x            *Exchange
	started      atomic.Bool     // the status and header fields have been sent to the caller
	progressed   bool            // a runner has sent an event, so that the request does not make runners crash
	lastEvent    int             // last event sent to the caller, -1 for none
	possibleRuns int             // attempts that may have run the request to completion
	attempts     int             // attempts so far
	avoid        map[string]bool // runners that failed this request
	failure      *Failure        // failure of the last attempt
	trial        *trial
	heldBack     error // refusal because of the limits of runners, nil for none
	crashed      bool  // a runner has crashed after it began to answer and before the first event, possibly because of this request
}

// Handle sends the request over a path and forwards the events to the caller. It returns a *bergamotrequest.Refusal
// when there is no complete response.
func (h *StreamHandler) Handle(ctx context.Context, x *Exchange) error {
	s := &streamState{handler: h, x: x, lastEvent: x.Request().LastEvent(), avoid: map[string]bool{}}
	h.Budget.RecordFirst(x.Service().Name())
	t, err := h.Quarantine.begin(ctx, x)
	if err != nil {
		return err
	}
	s.trial = t
	defer t.finish()
	var next *opened
	for {
		o := next
		if o == nil {
			plan, ok := s.plan(ctx)
			if !ok {
				return s.refuse(ctx)
			}
			o = newOpened(ctx, plan, h.Clock.Now())
		}
		if h.Quarantine.isConfirmed(x) {
			s.abandon(o)
			return s.refuseConfirmed()
		}
		if next == nil {
			o.plan = s.isolate(o.plan)
			s.attempts++
		}
		x.Trace().RecordAttempt(formatPlan(o.plan))
		start, chunksBefore, move := h.Clock.Now(), x.Trace().Chunks(), &handover{lastEvent: s.lastEvent}
		err := s.runAttempt(ctx, o, move)
		next = move.finish(err != nil)
		s.discard(o)
		s.recordEventTime(o.plan, x.Trace().Chunks()-chunksBefore, h.Clock.Now().Sub(start))
		if err == nil {
			s.discard(next)
			return nil
		}
		s.failure = asFailure(err)
		s.recordFailure(o.plan)
		s.recordSends(ctx, move)
		if ctx.Err() != nil || s.crashed || next == nil && !s.takeRetry() {
			s.abandon(next)
			return s.refuse(ctx)
		}
	}
}

// abandon discards an attempt that is not continued. If a runner has accepted it, the request may have run there.
func (s *streamState) abandon(o *opened) {
	if o != nil && o.response != nil {
		s.possibleRuns++
	}
	s.discard(o)
}

// discard ends an attempt and releases what it holds; it does nothing for nil.
func (s *streamState) discard(o *opened) {
	if o == nil {
		return
	}
	o.cancel(nil)
	if o.response != nil {
		o.response.Close()
	}
	s.handler.Router.Release(o.plan, s.x.Request().Tokens())
}

// plan returns a path, waiting up to maxPathWait for one, and for the limits of runners; ok is false if there is none.
func (s *streamState) plan(ctx context.Context) (p bergamotroute.Plan, ok bool) {
	h := s.handler
	deadline := h.Clock.Now().Add(maxPathWait)
	search := runnerSearch{
		resumes: s.started.Load(),
		atLimit: func() (process string, ok bool) { return h.Router.AtLimit(s.pathQuery(h.Views.View())) },
		take: func() (found bool) {
			p, found = s.route(s.pathQuery(h.Views.View()))
			return found
		},
	}
	for {
		if ok, s.heldBack = h.Gate.pass(ctx, s.x, search); ok || s.heldBack != nil || !h.Clock.Now().Before(deadline) {
			return p, ok
		}
		// A runner that failed this request may be the only one left with its layers.
		s.avoid = map[string]bool{}
		select {
		case <-ctx.Done():
			return p, false
		case <-h.Clock.After(pathPollInterval):
		}
	}
}

// route returns a path, which it reserves.
func (s *streamState) route(q bergamotpath.Query) (p bergamotroute.Plan, ok bool) {
	r := s.handler.Router
	p, ok = r.Route(q)
	if ok && s.probeFullestRunner(p, q) {
		// A runner of the path is at or near its memory limit, possibly because of other entries: search again with its current report.
		r.Withdraw(p, q)
		p, ok = r.Route(q)
	}
	return p, ok
}

// isolate returns a path whose first runner has no other suspect, if the request is one and there is such a path, and the
// given path otherwise. Without that, a request that waits at two runners while another one makes them crash would look
// like the cause.
func (s *streamState) isolate(p bergamotroute.Plan) bergamotroute.Plan {
	if !s.trial.suspect.Load() {
		return p
	}
	h, v := s.handler, s.handler.Views.View()
	query := s.pathQuery(v)
	query.Avoid = maps.Clone(s.avoid)
	for range maxIsolationPaths {
		i, ok := v.Fleet().Instance(p.Stages()[0].Instance())
		if !ok || s.trial.enter(i.Process(), true) {
			return p
		}
		query.Avoid[i.Name()] = true
		other, ok := h.Router.Route(query)
		if !ok {
			break
		}
		h.Router.Withdraw(p, query)
		p = other
	}
	if i, ok := v.Fleet().Instance(p.Stages()[0].Instance()); ok {
		s.trial.enter(i.Process(), false)
	}
	return p
}

// recordEventTime passes the mean time per event of an attempt to the router. Short attempts are left out, since their
// time depends more on how they ended than on the path.
func (s *streamState) recordEventTime(p bergamotroute.Plan, events int, elapsed time.Duration) {
	if events < minTimedEvents {
		return
	}
	if i, ok := s.handler.Views.View().Fleet().Instance(p.Stages()[0].Instance()); ok {
		s.handler.Router.RecordEventTime(i.DataCentre(), elapsed/time.Duration(events))
	}
}

// pathQuery returns the query for a path that suits the request.
func (s *streamState) pathQuery(v *bergamotcluster.View) bergamotpath.Query {
	return bergamotpath.Query{
		Engine: s.x.Service().Engine(), Service: s.x.Service().Name(), Fleet: v.Fleet(),
		Tokens: s.x.Request().Tokens(), Answer: s.x.Request().AnswerTokens(), Avoid: s.avoid, Entries: v.EntryCount(),
	}
}

// probeFullestRunner fetches the report of the runner of a path whose memory may be full, unless a recent report is
// known, and reports whether it did. A report costs a hundredth of a request, while a rejection costs a retry from the
// budget.
func (s *streamState) probeFullestRunner(p bergamotroute.Plan, q bergamotpath.Query) bool {
	name, address, ok := s.handler.Router.FullestRunner(p, q)
	if !ok {
		return false
	}
	r, err := s.handler.StallDetector.fetchReport(address)
	if err != nil {
		return false
	}
	s.handler.Router.RecordUsage(name, r.UsedMemory())
	return true
}

// attempt returns the attempt of o for a caller that has the events up to lastEvent.
func (s *streamState) attempt(o *opened, lastEvent int) Attempt {
	p, first := o.plan, o.plan.Stages()[0]
	runner, known := s.handler.Views.View().Fleet().Instance(first.Instance())
	a := Attempt{
		request: s.x.Request(), runner: first.Instance(), process: processOf(runner, known), address: first.Address(), plan: p,
		workspace: s.x.Workspace().Name(), timeout: s.x.Deadline().Sub(s.handler.Clock.Now()), resumeAfter: lastEvent,
		priority: s.priority(), onDetour: func(helper string) { o.helper = helper },
	}
	if !s.x.Route().IsRetryable() {
		a.need = a.timeout
	}
	return a
}

// runAttempt sends the request over a path, unless a response has begun there, and forwards the response until the stream ends or
// another attempt takes over.
func (s *streamState) runAttempt(requestCtx context.Context, o *opened, move *handover) (err error) {
	h, p, ctx := s.handler, o.plan, o.ctx
	runner, known := h.Views.View().Fleet().Instance(p.Stages()[0].Instance())
	w := h.StallDetector.watch(watchSpec{
		request: s.x.Request().ID(), plan: p, maxPause: s.x.Route().TargetGap(), maxSilence: maxSilence(s.x.Route()),
		maxFirst: s.x.Route().TargetLatency(), isContinued: s.started.Load(), isConfirmed: func() bool { return h.Quarantine.isConfirmed(s.x) },
		isLinkLost: h.isLinkLost(o.begin), takeSuccessor: s.successorFunc(requestCtx, p, move), onStall: s.reportStall(p), cancel: o.cancel,
	})
	defer w.stop()
	if o.response == nil {
		o.response, err = h.Upstream.Send(ctx, s.attempt(o, s.lastEvent))
	}
	if o.helper != "" {
		s.x.Trace().RecordDetour(o.helper)
	}
	if err != nil {
		o.response = nil
		if known && s.mayHaveCrashed(ctx, err) {
			s.trial.checkUnstarted(ctx, runner)
		}
		return failureCause(ctx, err)
	}
	if move.isOver() {
		return movedOn(ctx)
	}
	response := o.response
	defer func() {
		s.crashed = known && s.mayHaveCrashed(ctx, err) && s.trial.checkCrash(ctx, runner, s.trial.suspect.Load())
	}()
	if response.Status() != http.StatusOK {
		return s.forwardResponse(response)
	}
	if !s.started.Load() {
		if err = s.x.Sink().StartStream(response.Status(), response.Fields()); err != nil {
			return NewFailure(bergamotrequest.RunYes, bergamotrequest.ReasonCancel, err)
		}
		s.started.Store(true)
	}
	resumedAfter := s.lastEvent
	for {
		events, lastEvent, err := response.Next()
		if len(events) > 0 {
			if err := s.forwardEvents(ctx, w, move, events, lastEvent, response.Status()); err != nil {
				return err
			}
		}
		isEmpty := s.lastEvent == resumedAfter
		if errors.Is(err, io.EOF) && isEmpty && (resumedAfter < 0 || known && h.Quarantine.checkProcess(ctx, runner) != processAlive) {
			return NewFailure(bergamotrequest.RunYes, bergamotrequest.ReasonTarget, errNoEvent)
		}
		if errors.Is(err, io.EOF) {
			w.streamCompleted()
			return nil
		}
		if err != nil {
			return failureCause(ctx, err)
		}
	}
}

// isLinkLost returns a function that reports whether the connection of an attempt that begins now is silent because of the links of
// this entry. One that is opened after the loss takes a detour.
func (h *StreamHandler) isLinkLost(begin time.Time) func() bool {
	return func() bool {
		since, ok := h.Links.SilentSince()
		return ok && begin.Before(since)
	}
}

// processOf returns the process of a runner, empty for one that has been removed.
func processOf(runner bergamotfleet.Instance, known bool) string {
	if !known {
		return ""
	}
	return runner.Process()
}

// mayHaveCrashed reports whether the first runner of a path broke off before the first event, so that the request may have
// made it crash. The event after which the caller wants the stream to go on shows nothing: any caller can name one.
func (s *streamState) mayHaveCrashed(ctx context.Context, err error) bool {
	if err == nil || ctx.Err() != nil || s.progressed {
		return false
	}
	f := asFailure(err)
	return f.reason == bergamotrequest.ReasonTarget && f.runState != bergamotrequest.RunNo
}

// priority returns the priority of an attempt. A stream that the caller is already reading goes first: its pause must
// be shorter than the wait for a new stream.
func (s *streamState) priority() int {
	if s.started.Load() {
		return 0
	}
	return s.x.Priority()
}
