package bergamotrelay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamotroute"
)

const (
	// extraAttempts is how many attempts are allowed beyond the runs that the route permits, since an attempt that a
	// runner rejects is not a run. An attempt whose connection broke counts, as the runner may have completed it.
	extraAttempts = 3
	// newRequestBudgetShare is the share of the retry budget for requests that have no response yet. The rest is
	// reserved for interrupted streams: their callers lose what they have read, while a refused caller can retry.
	newRequestBudgetShare = 0.7
	// firstFailoverBudgetShare is the share of the retry budget for requests whose first event is overdue.
	firstFailoverBudgetShare = 0.5
	// retryDelayRatio is the shortest Retry-After time as a share of the time left until the deadline; the longest is
	// twice that.
	retryDelayRatio = 0.05
	// avoidDuration is how long a runner that failed a request is avoided. By then its health check or its list entry
	// shows its state.
	avoidDuration = 300 * time.Millisecond
)

// recordFailure records a failed attempt.
func (s *streamState) recordFailure(p bergamotroute.Plan) {
	f := s.failure
	name := runnerAt(p, f.faultAddress)
	s.x.Trace().RecordFailure(name, f)
	if f.isEnd() {
		return
	}
	if f.reason == bergamotrequest.ReasonSuspect || f.runState != bergamotrequest.RunNo {
		s.possibleRuns++
	}
	if f.reason == bergamotrequest.ReasonSuspect || f.isOfLink() {
		return // the runner is not at fault
	}
	s.avoid[name] = true
	if step := s.handler.Runners.recordFailure(p, f); step != "" {
		s.x.Trace().AddStep(step)
	}
}

// recordSends records the sends to other paths while an attempt waited.
func (s *streamState) recordSends(ctx context.Context, move *handover) {
	s.attempts += move.sends
	s.possibleRuns += move.runs
	for _, f := range move.failed {
		name := runnerAt(f.plan, f.failure.faultAddress)
		s.avoid[name] = s.avoid[name] || f.failure.isOfRunner()
		s.x.Trace().RecordAttempt(formatPlan(f.plan))
		if f.helper != "" {
			s.x.Trace().RecordDetour(f.helper)
		}
		s.x.Trace().RecordFailure(name, f.failure)
		if f.known && s.mayHaveCrashed(ctx, f.failure) {
			s.trial.checkUnstarted(ctx, f.runner)
		}
	}
}

// takeRetry reports whether the request may be sent over another path, and takes the retry from the budget unless that
// has already been done.
func (s *streamState) takeRetry() bool {
	f := s.failure
	switch {
	case f.isEnd() || f.isOfLink() && f.runState == bergamotrequest.RunNo && !f.retryTaken:
		return false // without links, another path is not reached either
	case f.runState != bergamotrequest.RunNo && !s.x.Route().IsRetryable():
		return false
	case !s.canAttempt(s.possibleRuns):
		return false
	case s.handler.Quarantine.isConfirmed(s.x):
		return false
	case s.crashed:
		s.x.Trace().AddStep("not sent again, since a runner crashed")
		return false
	case f.retryTaken:
		return true
	case f.unsent && s.handler.mayLackLinks():
		return true // nothing has reached a runner, and the links are at fault
	case !s.handler.Budget.TakeWithin(s.x.Service().Name(), s.budgetShare()):
		s.x.Trace().AddStep("no retry budget")
		return false
	}
	return true
}

// awaitLinks is that of calls. Where the search for runners waits, as for a path, it bridges such a time by itself.
func (s *streamState) awaitLinks(ctx context.Context) bool {
	h := s.handler
	if h.Runners.maxWait() > 0 || !s.linkRounds.await(ctx, h.Clock, s.x, s.failure, s.possibleRuns, h.MayLackLinks) {
		return false
	}
	s.avoid, s.attempts = map[string]bool{}, 0
	return true
}

func (h *StreamHandler) mayLackLinks() bool { return h.MayLackLinks != nil && h.MayLackLinks() }

// budgetShare returns the share of the retry budget that the next attempt may use.
func (s *streamState) budgetShare() float64 {
	if s.started.Load() {
		return 1
	}
	return newRequestBudgetShare
}

// canAttempt reports whether the route allows another attempt after possibleRuns attempts that may have run the request
// to completion.
func (s *streamState) canAttempt(possibleRuns int) bool {
	return s.allowsAttempt(s.attempts, possibleRuns)
}

// allowsAttempt reports whether the route allows another attempt after a number of attempts and of possible runs.
func (s *streamState) allowsAttempt(attempts, possibleRuns int) bool {
	return possibleRuns < s.x.Route().MaxAttempts() && attempts < s.x.Route().MaxAttempts()+extraAttempts
}

// refuse returns a refusal that states why there is no response or no complete one.
func (s *streamState) refuse(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return refuseEnded(ctx).WithRun(s.runState())
	}
	if s.heldBack != nil {
		return bergamotrequest.AsRefusal(s.heldBack).WithRun(s.runState())
	}
	if s.failure == nil {
		return refuseUnavailable(s.handler.Runners, s.x)
	}
	r := bergamotrequest.Refuse(s.failure.reason, "%s", s.failure.Error()).WithRun(s.runState())
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		r = bergamotrequest.Refuse(bergamotrequest.ReasonDeadline, "the time is over").WithRun(s.runState())
	}
	return r.WithRetryAfter(s.handler.Runners.returnIn(s.x))
}

// refuseConfirmed returns the refusal of a request that was found to make runners crash after it was admitted.
func (s *streamState) refuseConfirmed() error { return refuseQuarantined().WithRun(s.runState()) }

// runState returns whether any attempt has or may have run the request.
func (s *streamState) runState() bergamotrequest.RunState {
	if s.started.Load() {
		return bergamotrequest.RunYes
	}
	if s.possibleRuns > 0 || s.failure != nil && s.failure.runState != bergamotrequest.RunNo {
		return bergamotrequest.RunUnknown
	}
	return bergamotrequest.RunNo
}

// retryDelay returns the Retry-After time for a caller for which no runner had capacity. Callers retry only a few
// times, and a data centre that lacks layers needs several seconds to load them, so the delay grows with the time left
// until the deadline. It is randomized so that refused callers do not retry at the same time.
func retryDelay(x *Exchange, now time.Time) time.Duration {
	minDelay := max(time.Duration(retryDelayRatio*float64(x.Deadline().Sub(now))), time.Millisecond)
	return minDelay + rand.N(minDelay)
}

// failureCause returns the failure with which the stall detector cancelled ctx, a failure for a cancelled or expired
// ctx, or else err. An attempt that was ended before it was sent has not run.
func failureCause(ctx context.Context, err error) error {
	var f, sent *Failure
	runState := bergamotrequest.RunUnknown
	isUnsent := errors.As(err, &sent) && sent.runState == bergamotrequest.RunNo
	if isUnsent {
		runState = bergamotrequest.RunNo
	}
	switch {
	case errors.As(context.Cause(ctx), &f):
		if isUnsent {
			return f.withRun(runState)
		}
		return f
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return NewFailure(runState, bergamotrequest.ReasonDeadline, err)
	case ctx.Err() != nil:
		return NewFailure(runState, bergamotrequest.ReasonCancel, err)
	default:
		return err
	}
}

// formatPlan returns the runners of a plan, each with its layers if it has any.
func formatPlan(p bergamotroute.Plan) string {
	var b strings.Builder
	for _, s := range p.Stages() {
		if s.To() == s.From() {
			b.WriteString(s.Instance() + " ")
			continue
		}
		fmt.Fprintf(&b, "%s=%d-%d ", s.Instance(), s.From(), s.To())
	}
	return strings.TrimSpace(b.String())
}
