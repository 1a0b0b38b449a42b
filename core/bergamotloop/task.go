package bergamotloop

import (
	"context"
	"time"
)

// Event is an input to the control state.
type Event[S any] interface {
	Apply(s S)
}

// EventFunc is a function used as an Event.
type EventFunc[S any] func(s S)

// Apply calls f.
func (f EventFunc[S]) Apply(s S) { f(s) }

// Task is slow work that a controller wants done outside the control goroutine.
type Task[S any] struct {
	name string
	run  func(ctx context.Context) Event[S]
}

// NewTask returns a task; of tasks with the same name only one runs at a time. The event may be nil.
func NewTask[S any](name string, run func(ctx context.Context) Event[S]) Task[S] {
	return Task[S]{name: name, run: run}
}

// Name returns the name of the task.
func (t Task[S]) Name() string { return t.name }

// Run does the work and returns its event, which may be nil.
func (t Task[S]) Run(ctx context.Context) Event[S] { return t.run(ctx) }

// Controller reconciles one part of the control state.
type Controller[S any] interface {
	Name() string
	Reconcile(s S) []Task[S]
}

// Scheduler is a controller that tells when it next has work by itself, so that the loop does not wake up in
// vain. Events wake the loop at any time.
type Scheduler[S any] interface {
	Next(s S) time.Time
}
