package bergamotcontrol

import (
	"cmp"
	"context"
	"sync/atomic"
	"time"

	"bergamotspur/core/bergamotfleet"
)

// Limits of the loop.
const (
	inboxSize = 4096 // events that may wait; more are dropped, since every event is repeated by its source
	taskLimit = 128  // tasks that run at the same time: two seconds of probes and all others
	// A controller whose time has passed but that cannot act yet must not make the loop spin.
	minWait = 5 * time.Millisecond
	maxWait = time.Second // a view is at most this old
	// taskTime bounds a task when Timeout is not set; the longest one, a fetch of a bundle text, gives up after 10 s.
	taskTime = 15 * time.Second
)

// Clock tells the time and wakes the loop.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// Loop is the control goroutine: it owns the state, applies events and runs the controllers.
type Loop struct {
	Clock       Clock
	Period      time.Duration // time between two passes for controllers that are no Scheduler
	Controllers []Controller
	Timeout     time.Duration // longest time of a task, 15 s when it is 0
	Drops       func()        // called when an event is dropped because the inbox is full

	inbox chan Event
	done  chan result
	view  atomic.Pointer[View]
}

type result struct {
	name  string
	event Event
}

// Init prepares the loop so that Post and View work before Run.
func (l *Loop) Init() {
	l.inbox = make(chan Event, inboxSize)
	l.done = make(chan result, taskLimit)
	l.view.Store(NewView(l.Clock.Now(), nil, bergamotfleet.NewFleet(nil)))
}

// View returns the latest published view; it takes no lock.
func (l *Loop) View() *View { return l.view.Load() }

// Post hands an event to the loop without waiting and tells whether there was room.
func (l *Loop) Post(e Event) bool {
	select {
	case l.inbox <- e:
		return true
	default:
		if l.Drops != nil {
			l.Drops()
		}
		return false
	}
}

// Run applies events until ctx ends. A restart begins with an empty state but keeps the bundle in force.
func (l *Loop) Run(ctx context.Context) error {
	s := NewState()
	s.bundle, s.confirmed = l.View().Bundle(), l.View().Confirmed()
	running := map[string]bool{}
	for ctx.Err() == nil {
		s.now = l.Clock.Now()
		for _, c := range l.Controllers {
			for _, t := range c.Reconcile(s) {
				l.start(ctx, running, t)
			}
		}
		l.view.Store(s.view())
		l.wait(ctx, s, running)
	}
	// Tasks see the same context, so that all of them end and report.
	for len(running) > 0 {
		r := <-l.done
		delete(running, r.name)
	}
	return ctx.Err()
}

func (l *Loop) start(ctx context.Context, running map[string]bool, t Task) {
	if running[t.name] || len(running) >= taskLimit {
		return
	}
	running[t.name] = true
	go func() {
		// A task that waits on a silent connection for good would keep all later ones of its name from starting.
		bounded, cancel := context.WithTimeout(ctx, cmp.Or(l.Timeout, taskTime))
		defer cancel()
		l.done <- result{name: t.name, event: t.run(bounded)}
	}()
}

// wait blocks for one input or the period, then takes all other inputs that are ready.
func (l *Loop) wait(ctx context.Context, s *State, running map[string]bool) {
	select {
	case <-ctx.Done():
		return
	case <-l.Clock.After(l.pause(s)):
	case e := <-l.inbox:
		e.Apply(s)
	case r := <-l.done:
		finish(s, running, r)
	}
	for n := 0; n < inboxSize; n++ {
		select {
		case e := <-l.inbox:
			e.Apply(s)
		case r := <-l.done:
			finish(s, running, r)
		default:
			return
		}
	}
}

// pause returns how long the loop waits when no event comes.
func (l *Loop) pause(s *State) time.Duration {
	d := max(l.Period, maxWait)
	for _, c := range l.Controllers {
		if n, ok := c.(Scheduler); ok {
			d = min(d, n.Next(s).Sub(s.now))
		} else {
			d = min(d, l.Period)
		}
	}
	return max(d, min(l.Period, minWait))
}

func finish(s *State, running map[string]bool, r result) {
	delete(running, r.name)
	if r.event != nil {
		r.event.Apply(s)
	}
}
