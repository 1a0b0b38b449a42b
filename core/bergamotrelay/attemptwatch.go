package bergamotrelay

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"bergamotspur/core/bergamotconfig"
	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamotroute"
)

// errStalled is wrapped by the failure of a stalled attempt.
var errStalled = errors.New("no event for too long")

// errQuarantined is the cause of the failure of an attempt that was cancelled because of its contents.
var errQuarantined = errors.New("runners crashed on other requests with the same content")

// watchSpec describes an attempt to a StallDetector.
type watchSpec struct {
	request      string // ID of the request
	plan         bergamotroute.Plan
	maxPause     time.Duration // longest pause that the route allows, 0 for the default
	maxSilence   time.Duration // time without an event after which callers have given up, 0 for no limit
	maxFirst     time.Duration // time in which the first event is on time, 0 for the default
	isConfirmed  func() bool   // reports whether the request is known to make runners crash, nil for no
	failoverFunc func() bool   // takes a retry for a failover; nil if no further attempt is allowed
	// firstFailoverFunc is failoverFunc for an attempt that has no event yet.
	firstFailoverFunc func() bool
	cancel            context.CancelCauseFunc
}

// Callers give up on a stream without an event for the longest of these times, also before its first event.
const (
	minCallerPatience       = 2 * time.Second
	patienceLatencyMultiple = 4 // of the time in which the first event is on time
	patienceGapMultiple     = 8 // of the longest pause of a stream that is on time
)

// maxSilence returns how long callers wait for an event of a route. A slow stream may take that long for each event; one
// that takes longer only occupies its runners.
func maxSilence(r bergamotconfig.Route) time.Duration {
	return max(minCallerPatience, patienceLatencyMultiple*r.TargetLatency(), patienceGapMultiple*r.TargetGap())
}

// attemptWatch monitors one attempt for stalls.
type attemptWatch struct {
	watchSpec
	detector     *StallDetector
	lastProgress atomic.Int64 // time of the last progress in Unix nanoseconds
	hasEvents    atomic.Bool  // at least one event has arrived
	delivering   atomic.Bool  // the caller has not yet taken the last events
	stopped      atomic.Bool
	longestPause time.Duration // longest pause between two events; used only by the goroutine of the attempt
	timer        *time.Timer
}

// watch starts to monitor an attempt; stop ends it.
func (d *StallDetector) watch(s watchSpec) *attemptWatch {
	w := &attemptWatch{watchSpec: s, detector: d}
	w.lastProgress.Store(d.Clock.Now().UnixNano())
	w.timer = time.AfterFunc(checkPeriod, w.check)
	return w
}

// stop ends the monitoring.
func (w *attemptWatch) stop() {
	w.stopped.Store(true)
	w.timer.Stop()
}

// streamCompleted records that the stream ended normally.
func (w *attemptWatch) streamCompleted() {
	if w.hasEvents.Load() {
		w.detector.pauseStats.observe(w.longestPause)
	}
}

// eventsReceived records that events have arrived that the caller has not yet taken.
func (w *attemptWatch) eventsReceived() {
	w.delivering.Store(true)
	if w.hasEvents.Swap(true) {
		w.longestPause = max(w.longestPause, w.idleTime())
	} else {
		w.detector.firstEventStats.observe(w.idleTime())
	}
}

// eventsDelivered records that the caller has taken the events.
func (w *attemptWatch) eventsDelivered() {
	w.lastProgress.Store(w.detector.Clock.Now().UnixNano())
	w.delivering.Store(false)
}

// idleTime returns the time since the last progress.
func (w *attemptWatch) idleTime() time.Duration {
	return time.Duration(w.detector.Clock.Now().UnixNano() - w.lastProgress.Load())
}

// check cancels the attempt if it waits for a dead runner, and otherwise schedules the next check.
func (w *attemptWatch) check() {
	if w.stopped.Load() {
		return
	}
	next := checkPeriod
	switch {
	case w.delivering.Load():
	case w.maxSilence > 0 && w.idleTime() >= w.maxSilence:
		w.cancelAttempt(w.plan.Stages()[0].Address(), "no event although all runners answer")
		return
	case w.isConfirmed != nil && !w.hasEvents.Load() && w.isConfirmed():
		// The request waits at the runner, or is about to crash it.
		w.cancel(NewFailure(bergamotrequest.RunUnknown, bergamotrequest.ReasonSuspect, errQuarantined))
		return
	case w.hasEvents.Load():
		if left := w.detector.pauseStats.stallTimeout(w.maxPause) - w.idleTime(); left > 0 {
			next = left
		} else if w.failOver() || w.cancelIfStalled() {
			return
		}
	case w.cancelIfStalled() || w.failOverFirst():
		return
	}
	w.timer.Reset(next)
}

// failOverFirst cancels an attempt whose first event is overdue although all runners answer, so that another path still
// gives it in time, and reports whether it did. Runners in trouble may accept requests and never answer them. The time of
// such an attempt counts for what is usual, so that attempts stay when all paths are slow.
func (w *attemptWatch) failOverFirst() bool {
	idleTime := w.idleTime()
	if w.firstFailoverFunc == nil || idleTime < w.detector.firstEventStats.stallTimeout(w.maxFirst) {
		return false
	}
	w.detector.firstEventStats.observe(idleTime)
	if w.hasEvents.Load() || w.stopped.Load() || !w.firstFailoverFunc() {
		return false
	}
	f := NewFailure(bergamotrequest.RunUnknown, bergamotrequest.ReasonStall, errors.Join(errStalled, errors.New("the first event is overdue")))
	f.retryTaken = true
	w.cancel(f.WithFaultAddress(w.plan.Stages()[0].Address()))
	return true
}

// failOver cancels an attempt whose stream pauses, so that the stream resumes on another path before the pause exceeds
// what the route allows, and reports whether it did. It does so only if a runner of the path does not answer: a pause
// on a path of slow runners is not worth one of the few attempts.
func (w *attemptWatch) failOver() bool {
	if w.failoverFunc == nil {
		return false
	}
	pause := w.idleTime()
	address, found := w.detector.findUnresponsive(w.plan)
	if !found {
		w.detector.pauseStats.observe(pause)
	}
	if !found || w.stopped.Load() || w.delivering.Load() || w.idleTime() < pathReportTimeout || !w.failoverFunc() {
		return false
	}
	f := NewFailure(bergamotrequest.RunUnknown, bergamotrequest.ReasonStall, errors.Join(errStalled, errors.New("a runner does not answer")))
	f.retryTaken = true
	w.cancel(f.WithFaultAddress(address))
	return true
}

// findSilentSuspect asks the suspected runners of the path for their reports, and returns the address of one that does not
// answer.
func (w *attemptWatch) findSilentSuspect() (address string, ok bool) {
	for _, s := range w.plan.Stages() {
		if !w.detector.IsSuspected(s.Instance()) {
			continue
		}
		if _, err := w.detector.fetchReport(s.Address()); isSilent(err) {
			return s.Address(), true
		}
	}
	return "", false
}

// cancelIfStalled asks the suspected runners of the path and the first one what the attempt waits for, and reports whether
// the attempt has ended.
func (w *attemptWatch) cancelIfStalled() bool {
	idleTime := w.idleTime()
	if idleTime < suspectedDelay {
		return false
	}
	if address, found := w.findSilentSuspect(); found && !w.stopped.Load() {
		return w.cancelAttempt(address, "another request failed at the runner, and it does not answer")
	}
	if idleTime < probeDelay {
		return w.stopped.Load()
	}
	first := w.plan.Stages()[0].Address()
	r, err := w.detector.fetchReport(first)
	if w.stopped.Load() {
		return true
	}
	if isSilent(err) {
		return w.cancelAttempt(first, "the first runner of the path does not answer")
	}
	if address, ok := r.StalledOn(w.request); ok && err == nil {
		return w.cancelAttempt(address, "the first runner of the path waits for it")
	}
	return false
}

func (w *attemptWatch) cancelAttempt(address, detail string) bool {
	f := NewFailure(bergamotrequest.RunUnknown, bergamotrequest.ReasonStall, errors.Join(errStalled, errors.New(detail)))
	w.cancel(f.WithFaultAddress(address))
	return true
}
