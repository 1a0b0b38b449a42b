package bergamotcontrol

import (
	"context"
	"time"

	"bergamotspur/core/bergamotbundle"
)

// HeadSource reads the bundle that the head names.
type HeadSource interface {
	// Head returns nil when the head still names current, the bundle in force, which is nil for none.
	Head(ctx context.Context, current *bergamotbundle.Bundle) (*bergamotbundle.Bundle, error)
}

// HeadReader is the controller that reads the head and puts the bundle that it names in force.
type HeadReader struct {
	Source  HeadSource
	Period  time.Duration   // mean time between two reads
	Timeout time.Duration   // maximum duration of a read, including the fetch of a new bundle text
	Random  func() float64  // from 0 to 1, for the jitter of the period
	OnError func(err error) // called with the error of a failed read

	nextRead time.Time
	lastRead time.Time
	reading  bool
	state    *State
}

// hintGapDivisor divides the period into the minimum time between a read and one that a hint from a peer starts: at the
// default period of 2 s, 840 entries then read at most 1,680 times/s, and the table allows 2,000.
const hintGapDivisor = 4

// Name returns "heads".
func (c *HeadReader) Name() string { return "heads" }

// Reconcile reads the head when the next read is due or a peer knows of a newer head.
func (c *HeadReader) Reconcile(s *State) []Task {
	now := s.Now()
	// A restart of the loop begins with a new state and loses the event that ends a read.
	if c.state != s {
		c.state, c.reading = s, false
	}
	// A hint that arrives during a read stays set for the next one, since the read may have started too early to see it.
	if c.reading {
		return nil
	}
	headHinted := s.headHinted && !now.Before(c.lastRead.Add(c.Period/hintGapDivisor))
	if now.Before(c.nextRead) && !headHinted {
		return nil
	}
	// Without jitter, entries that start together would always read at the same time.
	c.nextRead = now.Add(time.Duration(float64(c.Period) * (0.75 + 0.5*c.Random())))
	c.lastRead, c.reading, s.headHinted = now, true, false
	current := s.Bundle()
	return []Task{NewTask(c.Name(), func(ctx context.Context) Event { return c.read(ctx, current, now) })}
}

// Next returns when the next read is due. During a read it returns a later time, since the event at its end wakes the
// loop.
func (c *HeadReader) Next(s *State) time.Time {
	switch {
	case c.reading:
		return s.Now().Add(c.Period)
	case s.headHinted:
		return c.lastRead.Add(c.Period / hintGapDivisor)
	default:
		return c.nextRead
	}
}

func (c *HeadReader) read(ctx context.Context, current *bergamotbundle.Bundle, started time.Time) Event {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	b, err := c.Source.Head(ctx, current)
	if err != nil {
		c.OnError(err)
	}
	return EventFunc(func(s *State) {
		c.reading = false
		if b != nil && err == nil {
			s.SetBundle(b)
		}
		if err == nil && s.bundle != nil && started.After(s.confirmedAt) {
			s.confirmedAt = started
		}
	})
}
