package bergamotcontrol

import (
	"context"
	"sync/atomic"
	"time"

	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotloop"
)

// Clock returns the time and wakes the loop.
type Clock = bergamotloop.Clock

// Loop is the control goroutine of an entry: it owns the state and publishes read-only views of it.
type Loop struct {
	Clock       Clock
	Period      time.Duration // time between two passes of controllers that are not Schedulers
	Controllers []Controller
	TaskTimeout time.Duration // maximum duration of a task, 15 s if 0
	OnDrop      func()        // called when an event is dropped because the inbox is full; may be nil

	loop bergamotloop.Loop[*State]
	view atomic.Pointer[View]
}

// Init initializes the loop, so that Post and View may be called before Run.
func (l *Loop) Init() {
	l.loop.Init()
	l.view.Store(NewView(l.Clock.Now(), nil, bergamotfleet.NewFleet(nil)))
}

// View returns the latest published view; it takes no lock.
func (l *Loop) View() *View { return l.view.Load() }

// Post queues an event without blocking and reports whether the inbox had space for it.
func (l *Loop) Post(e Event) bool {
	if l.loop.Post(e) {
		return true
	}
	if l.OnDrop != nil {
		l.OnDrop()
	}
	return false
}

// Run applies events until ctx is done and returns its error. A restart begins with an empty state but keeps the
// bundle in force.
func (l *Loop) Run(ctx context.Context) error {
	l.configure()
	l.loop.NewState = func() *State {
		s := NewState()
		s.bundle, s.confirmedAt = l.View().Bundle(), l.View().ConfirmedAt()
		return s
	}
	l.loop.Publish = func(s *State) { l.view.Store(s.view()) }
	return l.loop.Run(ctx)
}

func (l *Loop) configure() {
	l.loop.Clock, l.loop.Period, l.loop.Controllers, l.loop.TaskTimeout = l.Clock, l.Period, l.Controllers, l.TaskTimeout
}
