package bergamotcontrol

import (
	"context"
	"sync/atomic"
	"time"

	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotloop"
)

// Clock tells the time and wakes the loop.
type Clock = bergamotloop.Clock

// Loop is the control goroutine of an entry: it owns the state and publishes read-only views of it.
type Loop struct {
	Clock       Clock
	Period      time.Duration // time between two passes for controllers that are no Scheduler
	Controllers []Controller
	Timeout     time.Duration // longest time of a task, 15 s when it is 0
	Drops       func()        // called when an event is dropped because the inbox is full

	loop bergamotloop.Loop[*State]
	view atomic.Pointer[View]
}

// Init prepares the loop so that Post and View work before Run.
func (l *Loop) Init() {
	l.loop.Init()
	l.view.Store(NewView(l.Clock.Now(), nil, bergamotfleet.NewFleet(nil)))
}

// View returns the latest published view; it takes no lock.
func (l *Loop) View() *View { return l.view.Load() }

// Post hands an event to the loop without waiting and tells whether there was room.
func (l *Loop) Post(e Event) bool {
	if l.loop.Post(e) {
		return true
	}
	if l.Drops != nil {
		l.Drops()
	}
	return false
}

// Run applies events until ctx ends. A restart begins with an empty state but keeps the bundle in force.
func (l *Loop) Run(ctx context.Context) error {
	l.prepare()
	l.loop.NewState = func() *State {
		s := NewState()
		s.bundle, s.confirmed = l.View().Bundle(), l.View().Confirmed()
		return s
	}
	l.loop.Publish = func(s *State) { l.view.Store(s.view()) }
	return l.loop.Run(ctx)
}

func (l *Loop) prepare() {
	l.loop.Clock, l.loop.Period, l.loop.Controllers, l.loop.TaskTimeout = l.Clock, l.Period, l.Controllers, l.Timeout
}
