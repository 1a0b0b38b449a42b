package bergamotbundle

import (
	"slices"
	"time"
)

// Service is a service other than a model engine, with the calls that it offers.
type Service struct {
	name            string
	onceCalls       []string
	repeatableCalls []string
	outcomeCall     string
	deadline        time.Duration
}

// Name returns the name of the service.
func (s Service) Name() string { return s.name }

// HasCall reports whether the service offers call.
func (s Service) HasCall(call string) bool {
	return s.RunsOnce(call) || slices.Contains(s.repeatableCalls, call)
}

// RunsOnce reports whether call may run at most once for each idempotency key.
func (s Service) RunsOnce(call string) bool { return slices.Contains(s.onceCalls, call) }

// OutcomeCall returns the call that looks up the outcome of an earlier call, empty if the service has none.
func (s Service) OutcomeCall() string { return s.outcomeCall }

// Deadline returns the default time for a call.
func (s Service) Deadline() time.Duration { return s.deadline }
