package bergamotrelay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamotroute"
)

// Attempt is a request to one runner, or to the first runner of a path.
type Attempt struct {
	request     *Request
	runner      string
	process     string
	address     string
	plan        bergamotroute.Plan
	workspace   string
	timeout     time.Duration
	resumeAfter int
	priority    int
	onDetour    func(helper string) // nil for none
	helper      string              // address of the entry over which it went, empty for none
	need        time.Duration       // for which the connection must not break, 0 if the request may be sent again
}

// Request returns the caller's request.
func (a Attempt) Request() *Request { return a.request }

// Runner returns the name of the runner that must answer; a different runner at the same address must reject the
// attempt.
func (a Attempt) Runner() string { return a.runner }

// Process returns the name of the runner's process.
func (a Attempt) Process() string { return a.process }

// Address returns the host and port of the runner.
func (a Attempt) Address() string { return a.address }

// Plan returns the path through the layers; it has no stages for a service without a model engine.
func (a Attempt) Plan() bergamotroute.Plan { return a.plan }

// Workspace returns the name of the caller's workspace, empty on a public route.
func (a Attempt) Workspace() string { return a.workspace }

// Timeout returns the time that the runner has for the complete response.
func (a Attempt) Timeout() time.Duration { return a.timeout }

// ResumeAfter returns the number of the event after which the stream resumes, -1 to start from the beginning.
func (a Attempt) ResumeAfter() int { return a.resumeAfter }

// Priority returns the priority; 0 is the most urgent.
func (a Attempt) Priority() int { return a.priority }

// Need returns for how long the connection must not break, 0 if the request may be sent again.
func (a Attempt) Need() time.Duration { return a.need }

// Detoured records that the attempt went over another entry, the helper.
func (a Attempt) Detoured(helper string) {
	if a.onDetour != nil {
		a.onDetour(helper)
	}
}

// WithHelper returns a copy of an attempt that went over the entry at an address.
func (a Attempt) WithHelper(address string) Attempt {
	a.helper = address
	return a
}

// Upstream sends attempts to runners, each at most once.
type Upstream interface {
	// Send sends an attempt and returns the response once its header has arrived, or a *Failure. If the attempt goes over another
	// entry, Send says so with Detoured before it returns.
	Send(ctx context.Context, a Attempt) (Response, error)
}

// Response is the response of a runner.
type Response interface {
	Status() int
	Fields() Fields
	// IsEventStream reports whether the body is a series of events, if the status is a success. One that does not say what it is may be.
	IsEventStream() bool
	// Body returns the complete body, or a *Failure if it is cut off.
	Body() ([]byte, error)
	// Next returns one or more complete events and the number of the last one. The error is io.EOF after the last event
	// of a complete stream, and a *Failure if the stream is interrupted.
	Next() (events []byte, lastEvent int, err error)
	// Close releases the response; the runner aborts the request if it has not finished.
	Close()
}

// Failure is an error that states why an attempt gave no complete response and whether the request was run.
type Failure struct {
	runState     bergamotrequest.RunState
	reason       bergamotrequest.Reason
	faultAddress string
	cause        error
	// unsent is set if there was no connection on which anything could be sent, so that no runner has got the request.
	unsent bool
	// retryTaken is set when the next attempt has already been taken from the retry budget.
	retryTaken bool
}

// NewFailure returns a failure with a reason, a cause and whether the request was run.
func NewFailure(runState bergamotrequest.RunState, reason bergamotrequest.Reason, cause error) *Failure {
	return &Failure{runState: runState, reason: reason, cause: cause}
}

// WithFaultAddress returns a copy with the address of the runner that caused the failure.
func (f Failure) WithFaultAddress(address string) *Failure {
	f.faultAddress = address
	return &f
}

// Unsent returns a copy for an attempt that got no connection, so that no runner has got the request.
func (f Failure) Unsent() *Failure {
	f.unsent = true
	return &f
}

// withRun returns a copy with whether the request was run.
func (f Failure) withRun(s bergamotrequest.RunState) *Failure {
	f.runState = s
	return &f
}

// Error returns the reason, whether the request was run, and the cause.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s (run: %s): %v", f.reason, f.runState, f.cause)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.cause }

// Run returns whether the request was run.
func (f *Failure) Run() bergamotrequest.RunState { return f.runState }

// Reason returns the one-word reason.
func (f *Failure) Reason() bergamotrequest.Reason { return f.reason }

// FaultAddress returns the address of the runner that caused the failure, empty for the runner that received the
// attempt.
func (f *Failure) FaultAddress() string { return f.faultAddress }

// isEnd reports whether the entry itself ended the attempt because it was of no use any more, so that no runner is at fault.
func (f *Failure) isEnd() bool {
	return f.reason == bergamotrequest.ReasonCancel || f.reason == bergamotrequest.ReasonDeadline || f.reason == bergamotrequest.ReasonDrain
}

// isOfLink reports whether the way to the runner failed, so that no runner is at fault.
func (f *Failure) isOfLink() bool { return f.reason == bergamotrequest.ReasonLink }

// isOfRunner reports whether a runner is at fault.
func (f *Failure) isOfRunner() bool { return !f.isEnd() && !f.isOfLink() }

// asFailure returns the failure in err's chain, or a new one that leaves open whether the request was run.
func asFailure(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	return NewFailure(bergamotrequest.RunUnknown, bergamotrequest.ReasonTarget, err)
}
