package bergamotrelay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamotroute"
)

// Attempt is a request on its way to one runner, or to the first of a path.
type Attempt struct {
	request   *Request
	runner    string
	address   string
	plan      bergamotroute.Plan
	workspace string
	left      time.Duration
	position  int
	priority  int
}

// Request returns the request of the caller.
func (a Attempt) Request() *Request { return a.request }

// Runner returns the name of the runner that must answer; another one at its address must not.
func (a Attempt) Runner() string { return a.runner }

// Address returns host and port of the runner.
func (a Attempt) Address() string { return a.address }

// Plan returns the path through the layers, without stages for a plain call.
func (a Attempt) Plan() bergamotroute.Plan { return a.plan }

// Workspace returns the name of the caller's workspace, empty on a public route.
func (a Attempt) Workspace() string { return a.workspace }

// Left returns the time that the runner has.
func (a Attempt) Left() time.Duration { return a.left }

// Position returns the event after which a stream goes on, -1 for its beginning.
func (a Attempt) Position() int { return a.position }

// Priority returns the rank; 0 is the most urgent.
func (a Attempt) Priority() int { return a.priority }

// Upstream sends attempts to runners, each at most once.
type Upstream interface {
	// Open sends an attempt and returns the head of the answer, or a *Failure.
	Open(ctx context.Context, a Attempt) (Answer, error)
}

// Answer is the answer of a runner.
type Answer interface {
	Status() int
	Fields() Fields
	// Body returns the whole content, or a *Failure when it is not complete.
	Body() ([]byte, error)
	// Next returns the next whole events and the number of the last of them. It fails with io.EOF after the last
	// event of a complete stream, and with a *Failure when the stream breaks off.
	Next() (events []byte, last int, err error)
	// Close ends the answer; the runner stops its work when it has not finished.
	Close()
}

// Failure is why an attempt has no whole answer.
type Failure struct {
	run    bergamotrequest.RunState
	reason bergamotrequest.Reason
	fault  string
	cause  error
	// allowed tells that the right to send the request once more has been taken from the budget.
	allowed bool
}

// NewFailure returns a failure for a reason that states whether the request was run.
func NewFailure(run bergamotrequest.RunState, reason bergamotrequest.Reason, cause error) *Failure {
	return &Failure{run: run, reason: reason, cause: cause}
}

// At returns a copy that names the address of the runner at fault.
func (f Failure) At(address string) *Failure {
	f.fault = address
	return &f
}

// Error returns the reason and the cause.
func (f *Failure) Error() string { return fmt.Sprintf("%s (run: %s): %v", f.reason, f.run, f.cause) }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.cause }

// Run tells whether the request was run.
func (f *Failure) Run() bergamotrequest.RunState { return f.run }

// Reason returns the one-word cause.
func (f *Failure) Reason() bergamotrequest.Reason { return f.reason }

// Fault returns the address of the runner at fault, empty for the one that got the request.
func (f *Failure) Fault() string { return f.fault }

// asFailure returns the failure in err's chain, or one whose run state is unknown.
func asFailure(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	return NewFailure(bergamotrequest.RunUnknown, bergamotrequest.ReasonTarget, err)
}
