package bergamotrequest

import (
	"errors"
	"fmt"
	"time"
)

// Refusal is an error that tells a caller why a request was not answered and whether it was run.
type Refusal struct {
	reason Reason
	run    Run
	after  time.Duration
	text   string
}

// Refuse returns a refusal of a request that was not run.
func Refuse(reason Reason, format string, a ...any) *Refusal {
	return &Refusal{reason: reason, run: RunNo, text: fmt.Sprintf(format, a...)}
}

// Ran returns a copy of f that states run.
func (f Refusal) Ran(run Run) *Refusal {
	f.run = run
	return &f
}

// RetryAfter returns a copy of f that asks the caller to retry no earlier than after d.
func (f Refusal) RetryAfter(d time.Duration) *Refusal {
	f.after = d
	return &f
}

// Error returns the reason and the text.
func (f *Refusal) Error() string { return string(f.reason) + ": " + f.text }

// Reason returns the one-word cause.
func (f *Refusal) Reason() Reason { return f.reason }

// Run tells whether the request was run.
func (f *Refusal) Run() Run { return f.run }

// After returns the time to wait before a retry, zero when a retry makes no sense.
func (f *Refusal) After() time.Duration { return f.after }

// Text returns the explanation for the caller.
func (f *Refusal) Text() string { return f.text }

// AsRefusal returns the refusal in err's chain, or an internal one whose run state is unknown.
func AsRefusal(err error) *Refusal {
	var f *Refusal
	if errors.As(err, &f) {
		return f
	}
	return Refuse(ReasonInternal, "%s", err).Ran(RunUnknown)
}
