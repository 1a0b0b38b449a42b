package bergamotloop

import (
	"cmp"
	"context"
	"time"
)

// Limits of the loop.
const (
	inboxSize = 4096 // events that may wait; more are dropped, since every event is repeated by its source
	taskLimit = 128  // tasks that run at the same time: two seconds of probes and all others
	// MinWait is the shortest wait: a controller whose time has passed but that cannot act yet must not make the loop spin.
	MinWait = 5 * time.Millisecond
	maxWait = time.Second // a view is at most this old
	// taskTime bounds a task when Timeout is not set; the longest one, a fetch of a bundle text, gives up after 10 s.
	taskTime = 15 * time.Second
)

// Clock tells the time and wakes the loop.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// State is what the control goroutine owns.
type State interface {
	// Wake tells the state at which time the loop woke up.
	Wake(now time.Time)
	// Now returns the time of the last Wake.
	Now() time.Time
}

// Loop is the control goroutine: it owns the state, applies events and runs the controllers.
type Loop[S State] struct {
	Clock       Clock
	Period      time.Duration // time between two passes for controllers that are no Scheduler
	Controllers []Controller[S]
	Timeout     time.Duration // longest time of a task, 15 s when it is 0
	Drops       func()        // called when an event is dropped because the inbox is full
	Start       func() S      // returns the state with which a run of the loop begins
	Publish     func(s S)     // called after each pass of the controllers

	inbox chan Event[S]
	done  chan result[S]
}

type result[S any] struct {
	name  string
	event Event[S]
}

// Init prepares the loop so that Post works before Run.
func (l *Loop[S]) Init() {
	l.inbox = make(chan Event[S], inboxSize)
	l.done = make(chan result[S], taskLimit)
}

// Post hands an event to the loop without waiting and tells whether there was room.
func (l *Loop[S]) Post(e Event[S]) bool {
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

// Run applies events until ctx ends.
func (l *Loop[S]) Run(ctx context.Context) error {
	s := l.Start()
	running := map[string]bool{}
	for ctx.Err() == nil {
		s.Wake(l.Clock.Now())
		for _, c := range l.Controllers {
			for _, t := range c.Reconcile(s) {
				l.start(ctx, running, t)
			}
		}
		l.Publish(s)
		l.wait(ctx, s, running)
	}
	// Tasks see the same context, so that all of them end and report.
	for len(running) > 0 {
		r := <-l.done
		delete(running, r.name)
	}
	return ctx.Err()
}

func (l *Loop[S]) start(ctx context.Context, running map[string]bool, t Task[S]) {
	if running[t.name] || len(running) >= taskLimit {
		return
	}
	running[t.name] = true
	go func() {
		// A task that waits on a silent connection for good would keep all later ones of its name from starting.
		bounded, cancel := context.WithTimeout(ctx, cmp.Or(l.Timeout, taskTime))
		defer cancel()
		l.done <- result[S]{name: t.name, event: t.run(bounded)}
	}()
}

// wait blocks for one input or the period, then takes all other inputs that are ready.
func (l *Loop[S]) wait(ctx context.Context, s S, running map[string]bool) {
	select {
	case <-ctx.Done():
		return
	case <-l.Clock.After(l.Pause(s)):
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

// Pause returns how long the loop waits when no event comes.
func (l *Loop[S]) Pause(s S) time.Duration {
	d := max(l.Period, maxWait)
	for _, c := range l.Controllers {
		if n, ok := c.(Scheduler[S]); ok {
			d = min(d, n.Next(s).Sub(s.Now()))
		} else {
			d = min(d, l.Period)
		}
	}
	return max(d, min(l.Period, MinWait))
}

func finish[S any](s S, running map[string]bool, r result[S]) {
	delete(running, r.name)
	if r.event != nil {
		r.event.Apply(s)
	}
}
