package bergamotprefix

import (
	"context"
	"time"

	"bergamotspur/core/bergamotcontrol"
	"bergamotspur/core/bergamotfleet"
)

// Source reads the cache events of a target.
type Source interface {
	// Events returns the events that the target still has from a number on; reset tells that it never reached
	// that number, as after a restart.
	Events(ctx context.Context, address string, from int64) (events []Event, reset bool, err error)
}

const (
	// spread is the number of parts of a period in which targets are read.
	spread = 16
	// maxReads bounds the reads in a period. At 2 s and 300 B for a read without events a large fleet then takes
	// 3.6 KB/s of the 20 KB/s that a node has for control; a fleet of 40 is read once a period.
	maxReads = 24
	// wholeReads is the size up to which each target is read once a period.
	wholeReads = 48
)

// Follow is the controller that reads cache events into an index.
type Follow struct {
	Source  Source
	Index   *Index
	Period  time.Duration // time between two reads of a target of a small fleet
	Timeout time.Duration // time after which a read is given up

	next  map[string]time.Time
	scan  time.Time
	fleet *bergamotfleet.Fleet // of the last scan
}

// Name returns "caches".
func (c *Follow) Name() string { return "caches" }

// Reconcile reads the events of the runners that traffic may use and whose period has passed.
func (c *Follow) Reconcile(s *bergamotcontrol.State) (tasks []bergamotcontrol.Task) {
	if s.Now().Before(c.scan) {
		return nil
	}
	c.scan = s.Now().Add(c.Period / spread)
	if c.next == nil {
		c.next = map[string]time.Time{}
	}
	f := s.TrafficFleet()
	runners := f.ByRole(bergamotfleet.RoleRunner)
	period := c.Period
	if len(runners) > wholeReads {
		period = c.Period * time.Duration(len(runners)) / maxReads
	}
	for n, i := range runners {
		if !i.Usable() {
			continue
		}
		at, ok := c.next[i.Name()]
		if !ok {
			// First reads are spread over the period, since the loop runs a bounded number of tasks at a time.
			at = s.Now().Add(period * time.Duration(n%spread) / spread)
			if len(runners) > wholeReads {
				at = s.Now().Add(period * time.Duration(n) / time.Duration(len(runners)))
			}
			c.next[i.Name()] = at
		}
		if s.Now().Before(at) {
			continue
		}
		c.next[i.Name()] = s.Now().Add(period)
		tasks = append(tasks, bergamotcontrol.NewTask(c.Name()+" "+i.Name(), c.reader(i.Name(), i.Address())))
	}
	if f != c.fleet {
		c.forget(f)
	}
	return tasks
}

// Next returns when the runners are looked through again.
func (c *Follow) Next(*bergamotcontrol.State) time.Time { return c.scan }

// forget drops what is kept of runners that traffic may no longer use.
func (c *Follow) forget(f *bergamotfleet.Fleet) {
	c.fleet = f
	known := func(name string) bool {
		i, ok := f.Instance(name)
		return ok && i.Role() == bergamotfleet.RoleRunner && i.Usable()
	}
	for name := range c.next {
		if !known(name) {
			delete(c.next, name)
		}
	}
	c.Index.Keep(known)
}

func (c *Follow) reader(name, address string) func(ctx context.Context) bergamotcontrol.Event {
	return func(ctx context.Context) bergamotcontrol.Event {
		ctx, cancel := context.WithTimeout(ctx, c.Timeout)
		defer cancel()
		events, reset, err := c.Source.Events(ctx, address, c.Index.Next(name))
		// A failed read leaves the guesses as they are; a wrong guess costs only time.
		if err != nil {
			return nil
		}
		if reset {
			c.Index.Reset(name)
			return nil
		}
		c.Index.Apply(name, events)
		return nil
	}
}
