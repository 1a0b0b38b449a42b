package bergamotcontrol

import (
	"context"
	"time"

	"bergamotspur/core/bergamotfleet"
)

// Lister reads the platform's list of instances.
type Lister interface {
	List(ctx context.Context) ([]bergamotfleet.Spec, error)
}

// Instances is the controller that follows the platform's list of instances.
type Instances struct {
	Source Lister
	Period time.Duration // time between two reads
	Report func(err error)

	next time.Time
}

// Name returns "instances".
func (c *Instances) Name() string { return "instances" }

// Reconcile reads the list when the period has passed.
func (c *Instances) Reconcile(s *State) []Task {
	if s.Now().Before(c.next) {
		return nil
	}
	c.next = s.Now().Add(c.Period)
	return []Task{NewTask(c.Name(), c.read)}
}

func (c *Instances) read(ctx context.Context) Event {
	list, err := c.Source.List(ctx)
	if err != nil {
		c.Report(err)
		return nil
	}
	return listed(list)
}

// listed is a fresh read of the list. It lags, so that an instance marked leaving elsewhere stays so until
// its own report says otherwise.
type listed []bergamotfleet.Spec

// Apply adds new instances, marks leaving ones and forgets those no longer listed.
func (e listed) Apply(s *State) {
	current := map[string]bool{}
	for _, n := range e {
		current[n.Name] = true
		old, ok := s.Instance(n.Name)
		if !ok || old.Address() != n.Address {
			n.Joined, n.Listed = s.Now(), n.Leaving
			s.PutInstance(bergamotfleet.NewInstance(n))
			continue
		}
		if n.Leaving != old.Listed() || n.Leaving && !old.Leaving() {
			spec := old.Spec()
			spec.Listed, spec.Leaving = n.Leaving, n.Leaving || old.Leaving()
			s.PutInstance(bergamotfleet.NewInstance(spec))
		}
	}
	for _, name := range s.Instances() {
		if !current[name] {
			s.RemoveInstance(name)
		}
	}
}
