package bergamotcontrol

import (
	"context"
	"time"

	"bergamotspur/core/bergamotfleet"
)

// Lister reads the platform's list of instances.
type Lister interface {
	// List returns the list, or that its content is still the one that tag names; no content has the empty tag.
	List(ctx context.Context, tag string) (Listing, error)
}

// Limits of the bytes that the list takes.
const (
	smallList = 16 << 10 // bytes of a list that is read in every period, as in a fleet of 40
	listRate  = 3000     // bytes/s on average for a larger one, of the 20 KB/s that a node has for control
)

// Instances is the controller that follows the platform's list of instances.
type Instances struct {
	Source Lister
	Period time.Duration  // time between two reads of a small list
	Random func() float64 // from 0 to 1, for the jitter of the reads of a large list; nil for none
	Report func(err error)

	next  time.Time
	tag   string
	state *State
}

// Name returns "instances".
func (c *Instances) Name() string { return "instances" }

// Reconcile reads the list when the period has passed.
func (c *Instances) Reconcile(s *State) []Task {
	// A restart of the loop begins with another state, for which the whole list has to be read.
	if c.state != s {
		c.state, c.tag = s, ""
	}
	if s.Now().Before(c.next) {
		return nil
	}
	c.next = s.Now().Add(c.Period)
	tag := c.tag
	return []Task{NewTask(c.Name(), func(ctx context.Context) Event { return c.read(ctx, s, tag) })}
}

// Next returns when the next read is due.
func (c *Instances) Next(*State) time.Time { return c.next }

func (c *Instances) read(ctx context.Context, of *State, tag string) Event {
	l, err := c.Source.List(ctx, tag)
	if err != nil {
		c.Report(err)
		return nil
	}
	return EventFunc(func(s *State) {
		// A read that was begun before a restart may only say that the lost content is current.
		if s != of {
			return
		}
		c.delay(s, l.size)
		c.tag = l.tag
		if !l.unchanged {
			listed(l.list).Apply(s)
		}
	})
}

// delay puts off the next read after a large one, so that the mean rate of bytes stays bounded.
func (c *Instances) delay(s *State, size int) {
	if size <= smallList {
		return
	}
	d := float64(size) / listRate
	if c.Random != nil {
		d *= 0.75 + 0.5*c.Random()
	}
	c.next = s.Now().Add(max(c.Period, time.Duration(d*float64(time.Second))))
}

// listed is a fresh read of the list. It lags, so that an instance marked leaving elsewhere stays so until
// its own report says otherwise.
type listed []bergamotfleet.Spec

// Apply adds new instances, marks leaving ones and forgets those no longer listed.
func (e listed) Apply(s *State) {
	current := make(map[string]bool, len(e))
	for _, n := range e {
		current[n.Name] = true
		old, ok := s.Instance(n.Name)
		if !ok || old.Address() != n.Address {
			n.Joined, n.ListedLeaving = s.Now(), n.Leaving
			s.PutInstance(bergamotfleet.NewInstance(n))
			continue
		}
		if n.Leaving != old.ListedLeaving() || n.Leaving && !old.Leaving() {
			spec := old.Spec()
			spec.ListedLeaving, spec.Leaving = n.Leaving, n.Leaving || old.Leaving()
			s.PutInstance(bergamotfleet.NewInstance(spec))
		}
	}
	for name := range s.instances {
		if !current[name] {
			s.RemoveInstance(name)
		}
	}
}
