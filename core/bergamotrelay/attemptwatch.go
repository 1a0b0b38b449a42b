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

// Causes of the end of a stalled attempt.
var (
	errSilentStage   = errors.New("a runner does not answer")
	errSilentSuspect = errors.New("another request failed at the runner, and it does not answer")
	errSilentFirst   = errors.New("the first runner of the path does not answer")
	errWaitsFor      = errors.New("the first runner of the path waits for it")
	errOverdue       = errors.New("the first event is overdue")
	errNoPatience    = errors.New("no event until callers have given up")
	errLinkLost      = errors.New("this entry has lost its links to the runners, and the connection is silent")
)

// errQuarantined is the cause of the failure of an attempt that was cancelled because of its contents.
var errQuarantined = errors.New("runners crashed on other requests with the same content")

// watchSpec describes an attempt to a StallDetector.
type watchSpec struct {
	request     string // ID of the request
	plan        bergamotroute.Plan
	maxPause    time.Duration // longest pause that the route allows, 0 for the default
	maxSilence  time.Duration // time without an event after which callers have given up, 0 for no limit
	maxFirst    time.Duration // time in which the first event is on time, 0 for the default
	isContinued bool          // the caller has events of an earlier attempt
	isConfirmed func() bool   // reports whether the request is known to make runners crash, nil for no
	isLinkLost  func() bool   // reports whether the connection is silent because of the links of this entry, nil for no
	// takeSuccessor takes a retry for another path without the runner at an address, or for any path if the address is empty, while less
	// than the given share of the budget is used, and reports whether that path has accepted the request. It is nil if the route allows
	// no further attempt.
	takeSuccessor func(address string, share float64) bool
	// onStall is called once with the address of a runner that stalls the attempt and with the cause, whether or not the attempt ends.
	onStall func(address string, cause error)
	cancel  context.CancelCauseFunc
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
	reported     atomic.Bool  // onStall has been called
	stranded     atomic.Bool  // it is stalled, and there was no other path at the last check, but may be soon
	stopped      atomic.Bool
	longestPause time.Duration // longest pause between two events; used only by the goroutine of the attempt
	timer        *time.Timer
}

// watch starts to monitor an attempt; stop ends it.
func (d *StallDetector) watch(s watchSpec) *attemptWatch {
	w := &attemptWatch{watchSpec: s, detector: d}
	w.lastProgress.Store(d.Clock.Now().UnixNano())
	// The timer starts after it has been assigned, since check uses it.
	w.timer = time.AfterFunc(time.Hour, w.check)
	w.timer.Reset(checkPeriod)
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

// check ends the attempt if it waits for a dead runner and another path takes over, and otherwise schedules the next check.
func (w *attemptWatch) check() {
	if w.stopped.Load() {
		return
	}
	next := checkPeriod
	w.stranded.Store(false)
	switch {
	case w.delivering.Load():
	case w.maxSilence > 0 && w.idleTime() >= w.maxSilence:
		w.cancel(stallFailure(w.plan.Stages()[0].Address(), errNoPatience))
		return
	case w.isConfirmed != nil && !w.hasEvents.Load() && w.isConfirmed():
		// The request waits at the runner, or is about to crash it.
		w.cancel(NewFailure(bergamotrequest.RunUnknown, bergamotrequest.ReasonSuspect, errQuarantined))
		return
	case w.isLinkLost != nil && w.idleTime() >= suspectedDelay && w.isLinkLost() && w.leaveLink():
		return
	case w.hasEvents.Load():
		if left := w.detector.pauseStats.stallTimeout(w.maxPause) - w.idleTime(); left > 0 {
			next = left
		} else if w.failOver() || !w.stranded.Load() && w.leaveIfStalled() {
			return
		}
	case w.leaveIfStalled() || !w.stranded.Load() && w.failOverFirst():
		return
	}
	if w.stranded.Load() {
		next = runnerPollInterval
	}
	w.timer.Reset(next)
}

// leaveLink ends an attempt whose connection is silent because this entry has lost its links, so that the next one takes a detour, and
// reports whether it has ended. The runners of the path may go on with it: they are not at fault.
func (w *attemptWatch) leaveLink() bool {
	idleTime := w.idleTime()
	if w.takeSuccessor == nil || w.hasProgressed(idleTime) || !w.takeSuccessor("", 1) {
		return w.stopped.Load()
	}
	f := NewFailure(bergamotrequest.RunUnknown, bergamotrequest.ReasonLink, errors.Join(errStalled, errLinkLost))
	f.retryTaken = true
	w.cancel(f)
	return true
}

// failOverFirst cancels an attempt whose first event is overdue although all runners answer, so that another path still
// gives it in time, and reports whether it did. Runners in trouble may accept requests and never answer them. The time of
// such an attempt counts for what is usual, so that attempts stay when all paths are slow.
func (w *attemptWatch) failOverFirst() bool {
	idleTime := w.idleTime()
	if w.takeSuccessor == nil || idleTime < w.detector.firstEventStats.stallTimeout(w.maxFirst) {
		return false
	}
	w.detector.firstEventStats.observe(idleTime)
	return w.moveTo(w.plan.Stages()[0].Address(), idleTime, firstFailoverBudgetShare, errOverdue)
}

// failOver cancels an attempt whose stream pauses, so that the stream resumes on another path before the pause exceeds
// what the route allows, and reports whether it did. It does so only if a runner of the path does not answer: a pause
// on a path of slow runners is not worth one of the few attempts.
func (w *attemptWatch) failOver() bool {
	if w.takeSuccessor == nil {
		return false
	}
	pause := w.idleTime()
	address, found := w.detector.findUnresponsive(w.plan)
	if !found {
		w.detector.pauseStats.observe(pause)
		return false
	}
	return w.moveIfStalled(address, pause, errSilentStage)
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

// leaveIfStalled asks the suspected runners of the path and the first one what the attempt waits for, and reports whether
// the attempt has ended.
func (w *attemptWatch) leaveIfStalled() bool {
	idleTime := w.idleTime()
	if idleTime < suspectedDelay {
		return false
	}
	if address, found := w.findSilentSuspect(); found && w.moveIfStalled(address, idleTime, errSilentSuspect) {
		return true
	}
	if idleTime < probeDelay {
		return w.stopped.Load()
	}
	first := w.plan.Stages()[0].Address()
	r, err := w.detector.fetchReport(first)
	if isSilent(err) {
		return w.moveIfStalled(first, idleTime, errSilentFirst)
	}
	if address, ok := r.StalledOn(w.request); ok && err == nil {
		return w.moveIfStalled(address, idleTime, errWaitsFor)
	}
	return w.stopped.Load()
}

// moveIfStalled reports a runner that stalls the attempt, ends the attempt if another path takes over, and reports whether the
// attempt has ended. A runner that pauses looks like a dead one: without another path the answer can only come from it, and it
// breaks off by itself if it is dead.
func (w *attemptWatch) moveIfStalled(address string, idleTime time.Duration, cause error) bool {
	if w.hasProgressed(idleTime) {
		return w.stopped.Load()
	}
	if w.isLinkLost != nil && w.isLinkLost() {
		return w.leaveLink() // it became known while the runners were asked
	}
	if !w.reported.Swap(true) {
		w.onStall(address, cause)
	}
	share := newRequestBudgetShare
	if w.isContinued || w.hasEvents.Load() {
		share = 1
	}
	ended := w.moveTo(address, idleTime, share, cause)
	w.stranded.Store(!ended && w.takeSuccessor != nil)
	return ended
}

// moveTo ends the attempt if another path without the runner at an address takes over, and reports whether the attempt has ended.
func (w *attemptWatch) moveTo(address string, idleTime time.Duration, share float64, cause error) bool {
	if w.takeSuccessor == nil || w.hasProgressed(idleTime) || !w.takeSuccessor(address, share) {
		return w.stopped.Load()
	}
	f := stallFailure(address, cause)
	f.retryTaken = true
	w.cancel(f)
	return true
}

// hasProgressed reports whether the attempt has ended or has had an event since it was idle for idleTime. A runner that pauses may
// go on while it is asked for its report.
func (w *attemptWatch) hasProgressed(idleTime time.Duration) bool {
	return w.stopped.Load() || w.delivering.Load() || w.idleTime() < idleTime
}

// stallFailure returns the failure of an attempt that was ended because of the runner at an address.
func stallFailure(address string, cause error) *Failure {
	return NewFailure(bergamotrequest.RunUnknown, bergamotrequest.ReasonStall, errors.Join(errStalled, cause)).WithFaultAddress(address)
}
