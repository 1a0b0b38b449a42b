package bergamotcontrol

import (
	"context"
	"time"

	"bergamotspur/core/bergamotbundle"
)

// HeadSource reads the bundle that the head names; current is the bundle in force, nil for none.
type HeadSource interface {
	// Head returns nil when the head still names current.
	Head(ctx context.Context, current *bergamotbundle.Bundle) (*bergamotbundle.Bundle, error)
}

// Heads is the controller that follows the head of the bundle.
type Heads struct {
	Source  HeadSource
	Period  time.Duration  // mean time between two reads
	Timeout time.Duration  // time after which a read, with the fetch of a new text, has failed
	Random  func() float64 // from 0 to 1, for the jitter
	Report  func(err error)

	next  time.Time
	begun time.Time
	busy  bool
	state *State
}

// Hints from peers start a read at once, but never sooner than this part of the period after the last one:
// 840 entries at the default period of 2 s then read at most 1,680 times/s of the table's 2,000.
const hintGap = 4

// Name returns "heads".
func (c *Heads) Name() string { return "heads" }

// Reconcile reads the head when the period has passed or a peer knows of a newer one.
func (c *Heads) Reconcile(s *State) []Task {
	now := s.Now()
	// The event that ends a read is lost when the loop restarts, which begins with another state.
	if c.state != s {
		c.state, c.busy = s, false
	}
	// A hint that comes during a read is kept for the next one, since that read may have been too early.
	if c.busy {
		return nil
	}
	hinted := s.hinted && !now.Before(c.begun.Add(c.Period/hintGap))
	if now.Before(c.next) && !hinted {
		return nil
	}
	// Without jitter entries that start together would read together for ever.
	c.next = now.Add(time.Duration(float64(c.Period) * (0.75 + 0.5*c.Random())))
	c.begun, c.busy, s.hinted = now, true, false
	current := s.Bundle()
	return []Task{NewTask(c.Name(), func(ctx context.Context) Event { return c.read(ctx, current, now) })}
}

// Next returns when the next read is due; the end of a read wakes the loop by itself.
func (c *Heads) Next(s *State) time.Time {
	switch {
	case c.busy:
		return s.Now().Add(c.Period)
	case s.hinted:
		return c.begun.Add(c.Period / hintGap)
	default:
		return c.next
	}
}

func (c *Heads) read(ctx context.Context, current *bergamotbundle.Bundle, at time.Time) Event {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	b, err := c.Source.Head(ctx, current)
	if err != nil {
		c.Report(err)
	}
	return EventFunc(func(s *State) {
		c.busy = false
		if b != nil && err == nil {
			s.SetBundle(b)
		}
		if err == nil && s.bundle != nil && at.After(s.confirmed) {
			s.confirmed = at
		}
	})
}
