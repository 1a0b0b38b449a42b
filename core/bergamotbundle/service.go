package bergamotbundle

import (
	"slices"
	"time"
)

// Service is a plain service beside the model engines.
type Service struct {
	name     string
	once     []string
	repeat   []string
	ask      string
	deadline time.Duration
}

// Name returns the name of the service.
func (s Service) Name() string { return s.name }

// Has tells whether the service offers call.
func (s Service) Has(call string) bool { return s.Once(call) || slices.Contains(s.repeat, call) }

// Once tells whether call may run at most once for each idempotency key.
func (s Service) Once(call string) bool { return slices.Contains(s.once, call) }

// Ask returns the call that tells the outcome of an earlier call, empty when the service has none.
func (s Service) Ask() string { return s.ask }

// Deadline returns the default time for a call.
func (s Service) Deadline() time.Duration { return s.deadline }
