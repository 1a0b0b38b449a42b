package bergamotloop

import (
	"cmp"
	"context"
	"time"
)

const (
	inboxSize = 4096 // queued events; further ones are dropped, since the source of each event repeats it
	maxTasks  = 128  // tasks in flight; further ones wait until one of them ends
	// MinWait is the shortest wait between two passes, unless the period is shorter. It keeps the loop from spinning when
	// a controller is overdue but cannot act yet.
	MinWait = 5 * time.Millisecond
	maxWait = time.Second // longest wait, unless the period is longer; it limits the age of the published state
	// defaultTaskTimeout is used when TaskTimeout is not set. The slowest task, fetching the text of a bundle, gives up
	// after 10 s by itself.
	defaultTaskTimeout = 15 * time.Second
)

// Clock returns the time and wakes the loop.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// State is the control state that the loop owns.
type State interface {
	// SetTime sets the time at which the loop woke up.
	SetTime(now time.Time)
	// Now returns the time that SetTime set last.
	Now() time.Time
}

// Loop is the control goroutine: it owns the state, applies events to it and runs the controllers.
type Loop[S State] struct {
	Clock       Clock
	Period      time.Duration // time between two passes if a controller is not a Scheduler
	Controllers []Controller[S]
	TaskTimeout time.Duration // timeout of a task, 15 s when it is 0
	OnDrop      func()        // called when an event is dropped because the queue is full, nil for none
	NewState    func() S      // returns the initial state of a call of Run
	Publish     func(s S)     // called with the state after each pass of the controllers

	inbox   chan Event[S]
	results chan result[S]
}

// result is the event of a task that has ended.
type result[S any] struct {
	name  string
	event Event[S]
}

// Init prepares the loop so that Post works before Run.
func (l *Loop[S]) Init() {
	l.inbox = make(chan Event[S], inboxSize)
	l.results = make(chan result[S], maxTasks)
}

// Post queues an event without blocking and reports whether there was space in the queue.
func (l *Loop[S]) Post(e Event[S]) bool {
	select {
	case l.inbox <- e:
		return true
	default:
		if l.OnDrop != nil {
			l.OnDrop()
		}
		return false
	}
}

// Run applies events and runs the controllers until ctx ends; it returns the error of ctx.
func (l *Loop[S]) Run(ctx context.Context) error {
	s := l.NewState()
	tasks := &taskQueue[S]{names: map[string]bool{}, start: func(t Task[S]) { l.startTask(ctx, t) }}
	for ctx.Err() == nil {
		s.SetTime(l.Clock.Now())
		for _, c := range l.Controllers {
			for _, t := range c.Reconcile(s) {
				tasks.add(t)
			}
		}
		l.Publish(s)
		l.waitForInput(ctx, s, tasks)
	}
	// The contexts of the tasks have ended too, so all of them return soon.
	for ; tasks.inFlight > 0; tasks.inFlight-- {
		<-l.results
	}
	return ctx.Err()
}

// startTask runs a task in the background.
func (l *Loop[S]) startTask(ctx context.Context, t Task[S]) {
	go func() {
		// Without a timeout a task that hangs on a silent connection would block all later tasks of its name.
		bounded, cancel := context.WithTimeout(ctx, cmp.Or(l.TaskTimeout, defaultTaskTimeout))
		defer cancel()
		l.results <- result[S]{name: t.name, event: t.run(bounded)}
	}()
}

// waitForInput waits until an event arrives, a task ends or a controller is due, then handles all further events and
// results that are ready.
func (l *Loop[S]) waitForInput(ctx context.Context, s S, tasks *taskQueue[S]) {
	select {
	case <-ctx.Done():
		return
	case <-l.Clock.After(l.NextWait(s)):
	case e := <-l.inbox:
		e.Apply(s)
	case r := <-l.results:
		finishTask(s, tasks, r)
	}
	for n := 0; n < inboxSize; n++ {
		select {
		case e := <-l.inbox:
			e.Apply(s)
		case r := <-l.results:
			finishTask(s, tasks, r)
		default:
			return
		}
	}
}

// NextWait returns how long the loop waits if no event arrives.
func (l *Loop[S]) NextWait(s S) time.Duration {
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

// finishTask removes an ended task from the running ones and applies its event.
func finishTask[S any](s S, tasks *taskQueue[S], r result[S]) {
	tasks.finish(r.name)
	if r.event != nil {
		r.event.Apply(s)
	}
}
