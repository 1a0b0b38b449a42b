package bergamotcluster

import (
	"context"
	"time"

	"bergamotspur/core/bergamotlease"
)

// Leaser acquires, renews and releases the placement lease.
type Leaser interface {
	// AcquireOrRenew renews the lease if this entry holds it, or tries to acquire it.
	AcquireOrRenew(ctx context.Context) (bergamotlease.Grant, error)
	Release(ctx context.Context) error
}

// candidateCount is the number of entries that often check whether the lease is free. If all entries did, the calls
// would grow with their number. With three candidates, a deployment of four entries had no holder for 5 s when two
// candidates restarted and the third had been replaced.
const candidateCount = 5

// unrankedDivisor divides IdleInterval for an entry that does not know its rank yet.
const unrankedDivisor = 4

// Leadership is the controller that acquires and renews the placement lease, so that only one entry at a time places
// layers.
type Leadership struct {
	Lease             Leaser
	RenewInterval     time.Duration // time between two renewals by the holder
	CandidateInterval time.Duration // time between two attempts of a candidate to acquire the lease
	IdleInterval      time.Duration // the same for all other entries
	InitialDelay      time.Duration // time before the first attempt; by then the entry knows whether it is a candidate
	// OnChange is called with the fencing token when this entry becomes or stops being the holder, and after each error.
	OnChange func(holder bool, token int64, err error)
	Stopping func() bool // reports whether the entry is stopping, so that another one should take the lease

	nextStep      time.Time
	inFlight      bool
	released      bool
	handledOutage time.Time // end of the last store outage after which an attempt was made at once
}

// Name returns "leadership".
func (c *Leadership) Name() string { return "leadership" }

// Next returns when the next renewal or attempt is due.
func (c *Leadership) Next(s *State) time.Time {
	switch {
	case c.inFlight:
		return s.Now().Add(time.Minute)
	case s.outageEnd.After(c.handledOutage):
		return s.Now()
	default:
		return c.nextStep
	}
}

// Reconcile renews or tries to acquire the lease, and releases it when the entry is stopping.
func (c *Leadership) Reconcile(s *State) []Task {
	if c.nextStep.IsZero() {
		c.nextStep = s.Now().Add(c.InitialDelay)
	}
	if s.outageEnd.After(c.handledOutage) {
		// The holder could not renew the lease during the outage, and runners may have left meanwhile.
		c.handledOutage, c.nextStep = s.outageEnd, s.Now()
	}
	if c.inFlight || s.Now().Before(c.nextStep) {
		return nil
	}
	if c.Stopping() {
		return c.release()
	}
	c.inFlight = true
	held := s.grant.Valid(s.Now())
	return []Task{NewTask(c.Name(), func(ctx context.Context) Event {
		ctx, cancel := context.WithTimeout(ctx, replyTimeout)
		defer cancel()
		g, err := c.Lease.AcquireOrRenew(ctx)
		return EventFunc(func(s *State) {
			c.inFlight = false
			s.grant = g
			holds := g.Valid(s.Now())
			switch {
			case holds:
				c.nextStep = s.Now().Add(c.RenewInterval)
			case !s.rankKnown:
				// The entry may have counted the other entries before they registered.
				c.nextStep = s.Now().Add(c.IdleInterval / unrankedDivisor)
			case s.rank < candidateCount:
				c.nextStep = s.Now().Add(c.CandidateInterval)
			default:
				c.nextStep = s.Now().Add(c.IdleInterval)
			}
			if holds != held || err != nil {
				c.OnChange(holds, g.FencingToken(), err)
			}
		})
	})}
}

// release releases the lease once. If that fails, the next holder has to wait until the lease expires.
func (c *Leadership) release() []Task {
	if c.released {
		return nil
	}
	c.released, c.inFlight = true, true
	return []Task{NewTask(c.Name(), func(ctx context.Context) Event {
		ctx, cancel := context.WithTimeout(ctx, replyTimeout)
		defer cancel()
		err := c.Lease.Release(ctx)
		return EventFunc(func(s *State) {
			if s.grant.Valid(s.Now()) || err != nil {
				c.OnChange(false, s.grant.FencingToken(), err)
			}
			s.grant = bergamotlease.Grant{}
		})
	})}
}
