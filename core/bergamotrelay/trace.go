package bergamotrelay

import (
	"strings"
	"time"

	"bergamotspur/core/bergamotrequest"
)

// Trace records what was done for a request, for its line in the log.
type Trace struct {
	steps  []string
	failed []bergamotrequest.Reason
	sends  int
	first  time.Time
	last   time.Time
	gap    time.Duration
	events int
	status int
}

// Add records a step.
func (t *Trace) Add(step string) { t.steps = append(t.steps, step) }

// Fail records an attempt that failed, and the runner at fault.
func (t *Trace) Fail(runner string, f *Failure) {
	t.failed = append(t.failed, f.reason)
	t.Add(runner + ": " + f.Error())
}

// Failed returns the reason of each attempt that failed.
func (t *Trace) Failed() []bergamotrequest.Reason { return t.failed }

// Sent records that the request went to a runner.
func (t *Trace) Sent(step string) {
	t.sends++
	t.Add(step)
}

// Answered records a part of the answer, and its status if it is the first part.
func (t *Trace) Answered(now time.Time, status int) {
	if t.first.IsZero() {
		t.first, t.status = now, status
	} else {
		t.gap = max(t.gap, now.Sub(t.last))
	}
	t.last = now
	t.events++
}

// Steps returns the steps in order.
func (t *Trace) Steps() string { return strings.Join(t.steps, "; ") }

// Sends returns how often the request went to a runner.
func (t *Trace) Sends() int { return t.sends }

// First returns when the first part of the answer went out, zero for never.
func (t *Trace) First() time.Time { return t.first }

// Gap returns the longest pause between two parts of the answer.
func (t *Trace) Gap() time.Duration { return t.gap }

// Events returns how many parts of the answer went out.
func (t *Trace) Events() int { return t.events }

// Status returns the status of the answer, 0 before it.
func (t *Trace) Status() int { return t.status }
