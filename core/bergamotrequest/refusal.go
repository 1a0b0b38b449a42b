package bergamotrequest

import (
	"errors"
	"fmt"
	"time"
)

// Refusal is an error that states why a request was not answered and whether a target ran it.
type Refusal struct {
	reason     Reason
	run        RunState
	retryAfter time.Duration
	text       string
}

// Refuse returns a refusal of a request that no target ran.
func Refuse(reason Reason, format string, a ...any) *Refusal {
	return &Refusal{reason: reason, run: RunNo, text: fmt.Sprintf(format, a...)}
}

// WithRun returns a copy of f with the given run state.
func (f Refusal) WithRun(run RunState) *Refusal {
	f.run = run
	return &f
}

// WithRetryAfter returns a copy of f that asks the caller to wait at least d before a retry.
func (f Refusal) WithRetryAfter(d time.Duration) *Refusal {
	f.retryAfter = d
	return &f
}

// Error returns the reason and the text.
func (f *Refusal) Error() string { return string(f.reason) + ": " + f.text }

// Reason returns the one-word cause.
func (f *Refusal) Reason() Reason { return f.reason }

// RunState returns whether a target ran the request.
func (f *Refusal) RunState() RunState { return f.run }

// RetryAfter returns the time to wait before a retry, zero if a retry is pointless.
func (f *Refusal) RetryAfter() time.Duration { return f.retryAfter }

// Text returns the explanation for the caller, without the reason.
func (f *Refusal) Text() string { return f.text }

// AsRefusal returns the first refusal in the chain of err, or an internal refusal with RunUnknown if there is none.
func AsRefusal(err error) *Refusal {
	var f *Refusal
	if errors.As(err, &f) {
		return f
	}
	return Refuse(ReasonInternal, "%s", err).WithRun(RunUnknown)
}
