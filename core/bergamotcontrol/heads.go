package bergamotcontrol

import (
	"context"
	"time"

	"bergamotspur/core/bergamotbundle"
)

// HeadSource reads the bundle that the head names; current is the digest in force, empty for none.
type HeadSource interface {
	// Head returns nil when the head still names current.
	Head(ctx context.Context, current string) (*bergamotbundle.Bundle, error)
}

// Heads is the controller that follows the head of the bundle.
type Heads struct {
	Source HeadSource
	Period time.Duration // time between two reads
	Report func(err error)

	next time.Time
}

// Name returns "heads".
func (c *Heads) Name() string { return "heads" }

// Reconcile reads the head when the period has passed.
func (c *Heads) Reconcile(s *State) []Task {
	if s.Now().Before(c.next) {
		return nil
	}
	c.next = s.Now().Add(c.Period)
	current := ""
	if b := s.Bundle(); b != nil {
		current = b.Digest()
	}
	return []Task{NewTask(c.Name(), func(ctx context.Context) Event { return c.read(ctx, current) })}
}

func (c *Heads) read(ctx context.Context, current string) Event {
	b, err := c.Source.Head(ctx, current)
	if err != nil {
		c.Report(err)
		return nil
	}
	if b == nil {
		return nil
	}
	return EventFunc(func(s *State) { s.SetBundle(b) })
}
