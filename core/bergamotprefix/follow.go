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

// spread is the number of parts of a period in which targets are read.
const spread = 16

// Follow is the controller that reads cache events into an index.
type Follow struct {
	Source  Source
	Index   *Index
	Period  time.Duration // time between two reads of a target
	Timeout time.Duration // time after which a read is given up

	next map[string]time.Time
}

// Name returns "caches".
func (c *Follow) Name() string { return "caches" }

// Reconcile reads the events of the runners whose period has passed.
func (c *Follow) Reconcile(s *bergamotcontrol.State) (tasks []bergamotcontrol.Task) {
	if c.next == nil {
		c.next = map[string]time.Time{}
	}
	known := map[string]bool{}
	for _, name := range s.Instances() {
		i, _ := s.Instance(name)
		if i.Role() != bergamotfleet.RoleRunner || !i.Usable() {
			continue
		}
		known[name] = true
		if _, ok := c.next[name]; !ok {
			// First reads are spread over the period, since the loop runs a bounded number of tasks at a time.
			c.next[name] = s.Now().Add(c.Period * time.Duration(len(c.next)%spread) / spread)
		}
		if s.Now().Before(c.next[name]) {
			continue
		}
		c.next[name] = s.Now().Add(c.Period)
		tasks = append(tasks, bergamotcontrol.NewTask(c.Name()+" "+name, c.reader(name, i.Address())))
	}
	for name := range c.next {
		if !known[name] {
			delete(c.next, name)
		}
	}
	c.Index.Keep(func(name string) bool { return known[name] })
	return tasks
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
