package bergamotrelay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"bergamotspur/core/bergamotcluster"
	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamotroute"
)

const minTimedEvents = 10 // fewest events of an attempt from which the time per event is measured

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

// StreamHandler is the handler for requests that are answered with a series of events. Where the route allows it, an
// interrupted stream is resumed over another plan after the last event that the caller received.
type StreamHandler struct {
	Clock         Clock
	Upstream      Upstream
	Runners       Runners
	Views         Views
	Budget        Budget
	StallDetector *StallDetector
	Quarantine    *Quarantine
	Links         Links
	Gate          *LimitGate // nil for none
	// MayLackLinks is that of CallHandler.
	MayLackLinks func() bool
	// EventTimes records the mean time per event of a stream, by the data centre of its first runner; nil for none.
	EventTimes interface {
		RecordEventTime(centre string, event time.Duration)
	}
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
	started      atomic.Bool // the status and header fields have been sent to the caller
	progressed   bool        // a runner has sent an event, so that the request does not make runners crash
	lastEvent    int         // last event sent to the caller, -1 for none
	possibleRuns int         // attempts that may have run the request to completion
	attempts     int         // attempts so far
	linkRounds   linkRounds
	avoid        map[string]bool // runners that failed this request
	failure      *Failure        // failure of the last attempt
	trial        *trial
	heldBack     error // refusal because of the limits of runners, nil for none
	crashed      bool  // a runner has crashed after it began to answer and before the first event, possibly because of this request
}

// Handle sends the request over a path and forwards the events to the caller. It returns a *bergamotrequest.Refusal
// when there is no complete response.
func (h *StreamHandler) Handle(ctx context.Context, x *Exchange) error {
	s := &streamState{handler: h, x: x, lastEvent: x.LastEvent(), avoid: map[string]bool{}}
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
			if !ok && s.awaitLinks(ctx) {
				continue
			}
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
			o.plan = isolate(h.Runners, h.Views.View(), t, o.plan, s.avoid)
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
		if ctx.Err() != nil || s.crashed || next == nil && !s.takeRetry() && !s.awaitLinks(ctx) {
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
	s.handler.Runners.release(s.x, o.plan)
}

// plan returns a plan, waiting for one, and for the limits of runners; ok is false if there is none.
func (s *streamState) plan(ctx context.Context) (p bergamotroute.Plan, ok bool) {
	r := s.handler.Runners
	maxWait := r.maxWait()
	if s.started.Load() {
		maxWait = maxRunnerWait // the caller loses what it has if the stream breaks off
	}
	search := runnerSearch{
		resumes: s.started.Load(),
		atLimit: func() (process string, ok bool) { return r.atLimit(s.x, s.avoid) },
		take: func() (found bool) {
			p, found = r.reserve(s.x, s.avoid)
			return found
		},
		maxWait: maxWait,
		forget:  func() { s.avoid = map[string]bool{} },
	}
	ok, s.heldBack = awaitRunners(ctx, s.handler.Clock, s.handler.Gate, s.x, search)
	return p, ok
}

// recordEventTime records the mean time per event of an attempt. Short attempts are left out, since their
// time depends more on how they ended than on the path.
func (s *streamState) recordEventTime(p bergamotroute.Plan, events int, elapsed time.Duration) {
	if events < minTimedEvents || s.handler.EventTimes == nil {
		return
	}
	if i, ok := firstRunner(s.handler.Views.View(), p); ok {
		s.handler.EventTimes.RecordEventTime(i.DataCentre(), elapsed/time.Duration(events))
	}
}

// attempt returns the attempt of o for a caller that has the events up to lastEvent.
func (s *streamState) attempt(o *opened, lastEvent int) Attempt {
	a := newAttempt(s.x, o.plan, s.handler.Views.View(), s.handler.Clock.Now())
	a.resumeAfter, a.priority, a.onDetour = lastEvent, s.priority(), func(helper string) { o.helper = helper }
	return a
}

// runAttempt sends the request over a path, unless a response has begun there, and forwards the response until the stream ends or
// another attempt takes over.
func (s *streamState) runAttempt(requestCtx context.Context, o *opened, move *handover) (err error) {
	h, p, ctx := s.handler, o.plan, o.ctx
	runner, known := firstRunner(h.Views.View(), p)
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
	if response.Status() != http.StatusOK || !response.IsEventStream() {
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
