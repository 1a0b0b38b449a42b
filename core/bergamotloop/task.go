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

// Task is slow work that a controller hands off from the control goroutine.
type Task[S any] struct {
	name string
	run  func(ctx context.Context) Event[S]
}

// NewTask returns a task that calls run and then applies the event that it returns, which may be nil. Only one task of
// a name runs at a time.
func NewTask[S any](name string, run func(ctx context.Context) Event[S]) Task[S] {
	return Task[S]{name: name, run: run}
}

// Name returns the name of the task.
func (t Task[S]) Name() string { return t.name }

// Run executes the task and returns its event, which may be nil.
func (t Task[S]) Run(ctx context.Context) Event[S] { return t.run(ctx) }

// Controller reconciles one part of the control state.
type Controller[S any] interface {
	// Name returns the name of the controller.
	Name() string
	// Reconcile is called on each pass of the loop and returns the tasks to start; it must not block.
	Reconcile(s S) []Task[S]
}

// Scheduler is implemented by controllers that know when they have to run next, so that the loop does not run them
// needlessly. Events wake the loop at any time.
type Scheduler[S any] interface {
	// Next returns when Reconcile is to be called at the latest.
	Next(s S) time.Time
}
