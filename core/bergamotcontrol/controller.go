package bergamotcontrol

import (
	"context"

	"bergamotspur/core/bergamotloop"
)

// Event is an input to the control state.
type Event = bergamotloop.Event[*State]

// EventFunc is a function used as an Event.
type EventFunc = bergamotloop.EventFunc[*State]

// Task is slow work that runs outside the control goroutine.
type Task = bergamotloop.Task[*State]

// Controller reconciles one part of the control state.
type Controller = bergamotloop.Controller[*State]

// Scheduler is a controller that returns when its next work is due.
type Scheduler = bergamotloop.Scheduler[*State]

// NewTask returns a task whose result is an event, which may be nil; only one task of a name runs at a time.
func NewTask(name string, run func(ctx context.Context) Event) Task {
	return bergamotloop.NewTask[*State](name, run)
}
