package bergamotcluster

import (
	"context"
	"time"

	"bergamotspur/core/bergamotlease"
)

// Leaser acquires and renews the lease of the placement.
type Leaser interface {
	AcquireOrRenew(ctx context.Context) (bergamotlease.Grant, error)
	Release(ctx context.Context) error
}

// candidates is the number of entries that look often whether the lease is free. With all of them the calls would grow
// with the entries. With three, a deployment of four entries was without a holder for 5 s when two of the candidates
// restarted and the third had been replaced.
const candidates = 5

// unrankedShare divides the rest of an entry that does not know its place among the others.
const unrankedShare = 4

// Leadership is the controller that keeps or seeks the lease of the placement, so that one entry at a time places
// layers.
type Leadership struct {
	Lease  Leaser
	Renew  time.Duration // time between two steps of the holder
	Seek   time.Duration // time between two steps of a candidate
	Rest   time.Duration // time between two steps of all others
	First  time.Duration // before the first step; by then the entry knows whether it is a candidate
	Report func(holder bool, number int64, err error)
	Leave  func() bool // tells whether the entry is stopping, so that another one should place layers

	due      time.Time
	running  bool
	released bool
	resumed  time.Time // end of the last outage of the store that led to a step
}

// Name returns "leadership".
func (c *Leadership) Name() string { return "leadership" }

// Next returns when the next step is due.
func (c *Leadership) Next(s *State) time.Time {
	switch {
	case c.running:
		return s.Now().Add(time.Minute)
	case s.resumed.After(c.resumed):
		return s.Now()
	default:
		return c.due
	}
}

// Reconcile takes a step of the lease.
func (c *Leadership) Reconcile(s *State) []Task {
	if c.due.IsZero() {
		c.due = s.Now().Add(c.First)
	}
	if s.resumed.After(c.resumed) {
		// The holder could not renew the lease either, and runners may have left meanwhile.
		c.resumed, c.due = s.resumed, s.Now()
	}
	if c.running || s.Now().Before(c.due) {
		return nil
	}
	if c.Leave() {
		return c.release()
	}
	c.running = true
	held := s.grant.Valid(s.Now())
	return []Task{NewTask(c.Name(), func(ctx context.Context) Event {
		ctx, cancel := context.WithTimeout(ctx, replyTime)
		defer cancel()
		g, err := c.Lease.AcquireOrRenew(ctx)
		return EventFunc(func(s *State) {
			c.running = false
			s.grant = g
			holds := g.Valid(s.Now())
			switch {
			case holds:
				c.due = s.Now().Add(c.Renew)
			case !s.ranked:
				// The entry may have counted the others before they had registered.
				c.due = s.Now().Add(c.Rest / unrankedShare)
			case s.rank < candidates:
				c.due = s.Now().Add(c.Seek)
			default:
				c.due = s.Now().Add(c.Rest)
			}
			if holds != held || err != nil {
				c.Report(holds, g.FencingToken(), err)
			}
		})
	})}
}

// release gives the lease back once; a failure only makes the next holder wait for the end of its term.
func (c *Leadership) release() []Task {
	if c.released {
		return nil
	}
	c.released, c.running = true, true
	return []Task{NewTask(c.Name(), func(ctx context.Context) Event {
		ctx, cancel := context.WithTimeout(ctx, replyTime)
		defer cancel()
		err := c.Lease.Release(ctx)
		return EventFunc(func(s *State) {
			if s.grant.Valid(s.Now()) || err != nil {
				c.Report(false, s.grant.FencingToken(), err)
			}
			s.grant = bergamotlease.Grant{}
		})
	})}
}
