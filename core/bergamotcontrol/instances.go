package bergamotcontrol

import (
	"context"
	"time"

	"bergamotspur/core/bergamotfleet"
)

// Lister reads the platform's list of instances.
type Lister interface {
	// List returns the list, or an unchanged listing if its content still has the tag; no content has the empty tag.
	List(ctx context.Context, tag string) (Listing, error)
}

// Limits of the traffic for reads of the list.
const (
	smallListSize = 16 << 10 // bytes up to which a list, such as that of a fleet of 40, is read in every period
	maxListRate   = 3000     // average bytes/s for a larger list, out of a node's 20 KB/s for control traffic
)

// InstanceList is the controller that follows the platform's list of instances.
type InstanceList struct {
	Source  Lister
	Period  time.Duration   // time between two reads of a small list
	Random  func() float64  // from 0 to 1, for the jitter of reads of a large list; nil for none
	OnError func(err error) // called with the error of a failed read

	nextRead time.Time
	tag      string
	state    *State
}

// Name returns "instances".
func (c *InstanceList) Name() string { return "instances" }

// Reconcile reads the list when the next read is due.
func (c *InstanceList) Reconcile(s *State) []Task {
	// A restart of the loop begins with a new, empty state, which needs the whole list.
	if c.state != s {
		c.state, c.tag = s, ""
	}
	if s.Now().Before(c.nextRead) {
		return nil
	}
	c.nextRead = s.Now().Add(c.Period)
	tag := c.tag
	return []Task{NewTask(c.Name(), func(ctx context.Context) Event { return c.read(ctx, s, tag) })}
}

// Next returns when the next read is due.
func (c *InstanceList) Next(*State) time.Time { return c.nextRead }

func (c *InstanceList) read(ctx context.Context, startState *State, tag string) Event {
	l, err := c.Source.List(ctx, tag)
	if err != nil {
		c.OnError(err)
		return nil
	}
	return EventFunc(func(s *State) {
		// A read that began before a restart of the loop may report content as unchanged that the restart has discarded.
		if s != startState {
			return
		}
		c.delayNextRead(s, l.size)
		c.tag = l.tag
		if !l.unchanged {
			listUpdate(l.specs).Apply(s)
		}
	})
}

// delayNextRead delays the next read after a large one to keep the average rate within maxListRate.
func (c *InstanceList) delayNextRead(s *State, size int) {
	if size <= smallListSize {
		return
	}
	d := float64(size) / maxListRate
	if c.Random != nil {
		d *= 0.75 + 0.5*c.Random()
	}
	c.nextRead = s.Now().Add(max(c.Period, time.Duration(d*float64(time.Second))))
}

// listUpdate is the event that the list was read. The list lags behind the instances, so an instance that was marked
// leaving for another reason stays so until its own report says otherwise.
type listUpdate []bergamotfleet.Spec

// Apply adds new instances, marks leaving ones and removes those no longer listed.
func (e listUpdate) Apply(s *State) {
	listedNames := make(map[string]bool, len(e))
	for _, spec := range e {
		listedNames[spec.Name] = true
		old, ok := s.Instance(spec.Name)
		if !ok || old.Address() != spec.Address {
			spec.Joined, spec.ListedLeaving = s.Now(), spec.Leaving
			s.PutInstance(bergamotfleet.NewInstance(spec))
			continue
		}
		if spec.Leaving != old.ListedLeaving() || spec.Leaving && !old.Leaving() {
			updated := old.Spec()
			updated.ListedLeaving, updated.Leaving = spec.Leaving, spec.Leaving || old.Leaving()
			s.PutInstance(bergamotfleet.NewInstance(updated))
		}
	}
	for name := range s.instances {
		if !listedNames[name] {
			s.RemoveInstance(name)
		}
	}
}
