package bergamotprefix

import (
	"context"
	"time"

	"bergamotspur/core/bergamotcontrol"
	"bergamotspur/core/bergamotfleet"
)

// Source reads the cache events of a target.
type Source interface {
	// Events returns the events from the sequence number from on that the target still has. It reports a reset if the
	// target has not reached that number, for example because it restarted.
	Events(ctx context.Context, address string, from int64) (events []Event, reset bool, err error)
}

const (
	// scansPerPeriod is the number of times in a period at which the runners are checked for due reads.
	scansPerPeriod = 16
	// maxReadsPerPeriod limits the reads in a period for large fleets. With a period of 2 s and 300 B for a read without
	// events, they take 3.6 KB/s of the 20 KB/s that a node has for control.
	maxReadsPerPeriod = 24
	// maxSmallFleet is the largest number of runners up to which each is read once a period; this includes fleets of 40.
	maxSmallFleet = 48
)

// EventReader is the controller that reads cache events of runners into an index.
type EventReader struct {
	Source  Source
	Index   *Index
	Period  time.Duration // time between two reads of a runner of a small fleet
	Timeout time.Duration // timeout of a read

	nextRead  map[string]time.Time
	nextScan  time.Time
	lastFleet *bergamotfleet.Fleet // fleet at the last scan
}

// Name returns "caches".
func (c *EventReader) Name() string { return "caches" }

// Reconcile returns tasks that read the events of the usable runners that are due.
func (c *EventReader) Reconcile(s *bergamotcontrol.State) (tasks []bergamotcontrol.Task) {
	if s.Now().Before(c.nextScan) {
		return nil
	}
	c.nextScan = s.Now().Add(c.Period / scansPerPeriod)
	if c.nextRead == nil {
		c.nextRead = map[string]time.Time{}
	}
	f := s.TrafficFleet()
	runners := f.ByRole(bergamotfleet.RoleRunner)
	period := c.Period
	if len(runners) > maxSmallFleet {
		period = c.Period * time.Duration(len(runners)) / maxReadsPerPeriod
	}
	for n, i := range runners {
		if !i.Usable() {
			continue
		}
		at, ok := c.nextRead[i.Name()]
		if !ok {
			// The first reads are spread over the period, since the loop only runs a limited number of tasks at a time.
			at = s.Now().Add(period * time.Duration(n%scansPerPeriod) / scansPerPeriod)
			if len(runners) > maxSmallFleet {
				at = s.Now().Add(period * time.Duration(n) / time.Duration(len(runners)))
			}
			c.nextRead[i.Name()] = at
		}
		if s.Now().Before(at) {
			continue
		}
		c.nextRead[i.Name()] = s.Now().Add(period)
		tasks = append(tasks, bergamotcontrol.NewTask(c.Name()+" "+i.Name(), c.readEvents(i.Name(), i.Address())))
	}
	if f != c.lastFleet {
		c.forgetUnusable(f)
	}
	return tasks
}

// Next returns the time of the next scan.
func (c *EventReader) Next(*bergamotcontrol.State) time.Time { return c.nextScan }

// forgetUnusable removes the state of runners that traffic may no longer use.
func (c *EventReader) forgetUnusable(f *bergamotfleet.Fleet) {
	c.lastFleet = f
	known := func(name string) bool {
		i, ok := f.Instance(name)
		return ok && i.Role() == bergamotfleet.RoleRunner && i.Usable()
	}
	for name := range c.nextRead {
		if !known(name) {
			delete(c.nextRead, name)
		}
	}
	c.Index.Keep(known)
}

// readEvents returns a task function that reads the new events of a runner into the index.
func (c *EventReader) readEvents(name, address string) func(ctx context.Context) bergamotcontrol.Event {
	return func(ctx context.Context) bergamotcontrol.Event {
		ctx, cancel := context.WithTimeout(ctx, c.Timeout)
		defer cancel()
		events, reset, err := c.Source.Events(ctx, address, c.Index.NextEvent(name))
		// After a failed read the index stays as it is; an outdated index only costs time.
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
