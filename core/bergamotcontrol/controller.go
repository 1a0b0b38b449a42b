package bergamotcontrol

import (
	"context"

	"bergamotspur/core/bergamotloop"
)

// Event is an input to the control state.
type Event = bergamotloop.Event[*State]

// EventFunc is a function used as an Event.
type EventFunc = bergamotloop.EventFunc[*State]

// Task is slow work that a controller wants done outside the control goroutine.
type Task = bergamotloop.Task[*State]

// Controller reconciles one part of the control state.
type Controller = bergamotloop.Controller[*State]

// Scheduler is a controller that tells when it next has work by itself.
type Scheduler = bergamotloop.Scheduler[*State]

// NewTask returns a task; of tasks with the same name only one runs at a time. The event may be nil.
func NewTask(name string, run func(ctx context.Context) Event) Task {
	return bergamotloop.NewTask[*State](name, run)
}
