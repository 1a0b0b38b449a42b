package bergamotcontrol

import (
	"context"
	"time"
)

// Event is an input to the control state.
type Event interface {
	Apply(s *State)
}

// EventFunc is a function used as an Event.
type EventFunc func(s *State)

// Apply calls f.
func (f EventFunc) Apply(s *State) { f(s) }

// Task is slow work that a controller wants done outside the control goroutine.
type Task struct {
	name string
	run  func(ctx context.Context) Event
}

// NewTask returns a task; of tasks with the same name only one runs at a time. The event may be nil.
func NewTask(name string, run func(ctx context.Context) Event) Task {
	return Task{name: name, run: run}
}

// Name returns the name of the task.
func (t Task) Name() string { return t.name }

// Controller reconciles one part of the control state.
type Controller interface {
	Name() string
	Reconcile(s *State) []Task
}

// Scheduler is a controller that tells when it next has work by itself, so that the loop does not wake up in
// vain. Events wake the loop at any time.
type Scheduler interface {
	Next(s *State) time.Time
}
