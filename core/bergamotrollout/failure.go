package bergamotrollout

import "fmt"

// Failure is an error with advice for the operator who ran the command.
type Failure struct {
	text   string
	advice string
	cause  error
}

func newFailure(cause error, advice, format string, a ...any) *Failure {
	return &Failure{cause: cause, advice: advice, text: fmt.Sprintf(format, a...)}
}

// Error returns what happened, the cause and the advice.
func (f *Failure) Error() string {
	if f.cause == nil {
		return f.text + "\n  next: " + f.advice
	}
	return f.text + ": " + f.cause.Error() + "\n  next: " + f.advice
}

// Advice returns what to do next.
func (f *Failure) Advice() string { return f.advice }

// Unwrap returns the cause, which may be nil.
func (f *Failure) Unwrap() error { return f.cause }
