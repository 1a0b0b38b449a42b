package bergamotrelay

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"sync"
	"time"

	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamotroute"
)

// opened is an attempt over a path that is reserved for it.
type opened struct {
	plan     bergamotroute.Plan
	response Response // nil until it has begun
	helper   string   // the entry over which it went, empty for none
	begin    time.Time
	ctx      context.Context
	cancel   context.CancelCauseFunc
}

func newOpened(ctx context.Context, p bergamotroute.Plan, now time.Time) *opened {
	o := &opened{plan: p, begin: now}
	o.ctx, o.cancel = context.WithCancelCause(ctx)
	return o
}

// failedSend is an attempt that another path did not accept.
type failedSend struct {
	plan    bergamotroute.Plan
	helper  string // the entry over which it went, empty for none
	runner  bergamotfleet.Instance
	known   bool
	failure *Failure
}

// errGoesOn is the cause of the end of a send to another path when the attempt before goes on.
var errGoesOn = errors.New("the stream goes on over the path before")

// handover moves an exchange from an attempt that waits for a silent runner to another path. The attempt ends only when a runner of the
// other path has accepted the request: one that pauses goes on and still serves the caller, also when the other path refuses.
type handover struct {
	mu        sync.Mutex
	lastEvent int                     // last event that the caller has or gets
	ended     bool                    // the attempt has ended
	sending   chan struct{}           // closed at the end of the send under way, nil without one
	cancel    context.CancelCauseFunc // of that send
	next      *opened                 // the attempt that takes over
	sends     int
	runs      int // sends without a response that may have run the request
	failed    []failedSend
}

// advance records progress of the attempt and reports whether it still serves the caller. A send under way is of no use any more.
func (h *handover) advance(lastEvent int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.next != nil {
		return false
	}
	h.lastEvent = lastEvent
	if h.sending != nil {
		h.cancel(nil)
	}
	return true
}

// isOver reports whether another attempt has taken over.
func (h *handover) isOver() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.next != nil
}

// begin records that a send to another path begins, and returns the last event that the caller has. ok is false once the attempt has
// ended or allows no further one, by the numbers of sends and possible runs so far.
func (h *handover) begin(cancel context.CancelCauseFunc, allowed func(sends, runs int) bool) (lastEvent int, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended || h.next != nil || !allowed(h.sends, h.runs) {
		return 0, false
	}
	h.sends++
	h.sending, h.cancel = make(chan struct{}), cancel
	return h.lastEvent, true
}

// accept lets the response to a send take over and reports whether it does: not if the caller has had an event meanwhile.
func (h *handover) accept(o *opened, lastEvent int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if o.ctx.Err() != nil || h.lastEvent != lastEvent {
		return false
	}
	h.next = o
	h.sent()
	return true
}

// reject records a send without a usable response.
func (h *handover) reject(f failedSend) {
	h.mu.Lock()
	defer h.mu.Unlock()
	defer h.sent()
	if f.failure.runState != bergamotrequest.RunNo {
		h.runs++
	}
	h.failed = append(h.failed, f)
}

// sent ends the send under way. The caller holds the lock.
func (h *handover) sent() {
	close(h.sending)
	h.sending = nil
}

// finish ends the attempt and returns the one that has taken over, nil for none. One that was broken off waits for the send under way.
func (h *handover) finish(brokenOff bool) *opened {
	h.mu.Lock()
	h.ended = true
	sending := h.sending
	if sending != nil && !brokenOff {
		h.cancel(nil)
	}
	h.mu.Unlock()
	if sending != nil {
		<-sending
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.next
}

// successorFunc returns a function that takes a retry for another path than p, without the runner at an address, or for any path if the
// address is empty, while less than the given share of the budget is used, and sends the request over it. It reports whether that path
// has accepted the request: a runner that is only slow or pauses still serves the caller. The function is nil if the route allows no
// further attempt.
func (s *streamState) successorFunc(ctx context.Context, p bergamotroute.Plan, move *handover) func(address string, share float64) bool {
	if !s.x.Route().IsRetryable() || !s.canAttempt(s.possibleRuns+1) {
		return nil
	}
	h := s.handler
	failed := maps.Clone(s.avoid) // s.avoid changes once the attempt has ended, when the function may still run
	attempts, runs := s.attempts, s.possibleRuns+1
	allowed := func(sends, more int) bool { return s.allowsAttempt(attempts+sends, runs+more) }
	return func(address string, share float64) bool {
		if h.Quarantine.isConfirmed(s.x) {
			return false
		}
		avoid := maps.Clone(failed)
		if address != "" {
			avoid[runnerAt(p, address)] = true
		}
		other, ok := h.Runners.reserve(s.x, avoid)
		if !ok {
			return false
		}
		if s.trial.suspect.Load() {
			// A suspect leaves its runner before it goes to another one.
			h.Runners.withdraw(s.x, other)
			return h.Budget.TakeWithin(s.x.Service().Name(), share)
		}
		o := newOpened(ctx, other, h.Clock.Now())
		lastEvent, ok := move.begin(o.cancel, allowed)
		if !ok {
			o.cancel(nil)
			h.Runners.withdraw(s.x, other)
			return false
		}
		if !h.Budget.TakeWithin(s.x.Service().Name(), share) {
			move.withdraw()
			o.cancel(nil)
			h.Runners.withdraw(s.x, other)
			return false
		}
		runner, known := firstRunner(h.Views.View(), other)
		f := s.open(o, lastEvent)
		if f == nil && move.accept(o, lastEvent) {
			return true
		}
		s.discard(o)
		if f == nil {
			f = NewFailure(bergamotrequest.RunUnknown, bergamotrequest.ReasonCancel, errGoesOn)
		}
		name := runnerAt(other, f.faultAddress)
		failed[name] = failed[name] || f.isOfRunner()
		// The attempt may end meanwhile; its caller does not wait for a report of the other runner.
		move.reject(failedSend{plan: other, helper: o.helper, runner: runner, known: known, failure: f})
		if f.isOfRunner() {
			h.Runners.recordFailure(other, f)
		}
		return false
	}
}

// withdraw takes back a send that has not begun.
func (h *handover) withdraw() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sends--
	h.sent()
}

// open sends the request over a path and returns the failure if the response is no stream. Callers do not wait for longer than
// maxSilence.
func (s *streamState) open(o *opened, lastEvent int) *Failure {
	address := o.plan.Stages()[0].Address()
	timer := time.AfterFunc(maxSilence(s.x.Route()), func() { o.cancel(stallFailure(address, errNoPatience)) })
	defer timer.Stop()
	response, err := s.handler.Upstream.Send(o.ctx, s.attempt(o, lastEvent))
	if err != nil {
		return asFailure(failureCause(o.ctx, err))
	}
	if response.Status() != http.StatusOK || s.started.Load() && !response.IsEventStream() {
		response.Close()
		return NewFailure(bergamotrequest.RunUnknown, bergamotrequest.ReasonTarget, fmt.Errorf("status %d", response.Status()))
	}
	o.response = response
	return nil
}

// reportStall returns a function that reports a runner of a path on which an attempt waits, also if the attempt goes on: other
// requests take other paths meanwhile.
func (s *streamState) reportStall(p bergamotroute.Plan) func(address string, cause error) {
	h := s.handler
	return func(address string, cause error) {
		name := runnerAt(p, address)
		if i, ok := h.Views.View().Fleet().Instance(name); ok && !i.Failed() {
			h.Runners.recordFailure(p, stallFailure(address, cause))
		}
	}
}
