package bergamotrelay

import (
	"strings"
	"time"

	"bergamotspur/core/bergamotrequest"
)

// Trace records the steps taken for a request, for the request's log line.
type Trace struct {
	filter         string // the last one that the request has reached
	handler        string // the one that answers the request
	steps          []string
	failureReasons []bergamotrequest.Reason
	attempts       int
	detours        int
	firstChunkAt   time.Time
	lastChunkAt    time.Time
	longestGap     time.Duration
	chunks         int
	status         int
}

// AddStep records a step.
func (t *Trace) AddStep(step string) { t.steps = append(t.steps, step) }

// RecordFailure records a failed attempt and the runner that caused the failure.
func (t *Trace) RecordFailure(runner string, f *Failure) {
	t.failureReasons = append(t.failureReasons, f.reason)
	t.AddStep(runner + ": " + f.Error())
}

// FailureReasons returns the reason of each failed attempt.
func (t *Trace) FailureReasons() []bergamotrequest.Reason { return t.failureReasons }

// RecordAttempt records a step in which the request was sent to a runner.
func (t *Trace) RecordAttempt(step string) {
	t.attempts++
	t.AddStep(step)
}

// RecordDetour records that the last attempt went over another entry.
func (t *Trace) RecordDetour(helper string) {
	t.detours++
	t.AddStep("over " + helper)
}

// Detours returns how many attempts went over another entry.
func (t *Trace) Detours() int { return t.detours }

// RecordChunk records that a chunk of the response was sent to the caller; the status of the first chunk is kept.
func (t *Trace) RecordChunk(now time.Time, status int) {
	if t.firstChunkAt.IsZero() {
		t.firstChunkAt, t.status = now, status
	} else {
		t.longestGap = max(t.longestGap, now.Sub(t.lastChunkAt))
	}
	t.lastChunkAt = now
	t.chunks++
}

// Filter returns the name of the last filter that the request has reached.
func (t *Trace) Filter() string { return t.filter }

func (t *Trace) recordHandler(name string) { t.handler = name }

// Handler returns the name of the handler that answers the request: "layered" or "plain" for the runners of its service, and "whole" or
// "events" for how the answer is passed on. It is empty for a request that has reached none.
func (t *Trace) Handler() string { return t.handler }

// Steps returns the steps in order, separated by semicolons.
func (t *Trace) Steps() string { return strings.Join(t.steps, "; ") }

// Attempts returns how often the request was sent to a runner.
func (t *Trace) Attempts() int { return t.attempts }

// FirstChunkAt returns the time of the first chunk, zero if there was none.
func (t *Trace) FirstChunkAt() time.Time { return t.firstChunkAt }

// LongestGap returns the longest time between two chunks.
func (t *Trace) LongestGap() time.Duration { return t.longestGap }

// Chunks returns the number of chunks.
func (t *Trace) Chunks() int { return t.chunks }

// Status returns the status of the response, 0 if there was none.
func (t *Trace) Status() int { return t.status }
