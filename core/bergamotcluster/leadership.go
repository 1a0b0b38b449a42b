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
	// FreeIn returns how long the term of the holder goes on as far as is known, 0 if the lease is free or that is unknown.
	FreeIn() time.Duration
	// HolderAddress returns the address at which other entries reach the holder, as far as is known, empty if it is not.
	HolderAddress() string
}

// CandidateCount is the number of hubs that often check whether the lease is free. If all entries did, the calls would
// grow with their number. With three candidates, a deployment of four entries had no holder for 5 s when two candidates
// restarted and the third had been replaced.
const CandidateCount = 5

// maxCandidateJitter is the longest random delay of an attempt, so that candidates do not write at the same moment.
const maxCandidateJitter = 100 * time.Millisecond

// Leadership is the controller that acquires and renews the placement lease, so that only one entry at a time places
// layers.
type Leadership struct {
	Lease             Leaser
	RenewInterval     time.Duration  // time between two renewals by the holder
	CandidateInterval time.Duration  // longest time between two attempts of a candidate, which tries when the holder's term ends
	InitialDelay      time.Duration  // time before the first attempt
	Random            func() float64 // returns a number from 0 (included) to 1 (excluded)
	// OnChange is called with the fencing token when this entry becomes or stops being the holder, and after each error.
	OnChange func(holder bool, token int64, err error)
	Stopping func() bool // reports whether the entry is stopping, so that another one should take the lease

	nextStep      time.Time
	inFlight      bool
	released      bool
	yielding      bool      // the lease is being given up since the links to the runners are lost
	handledResume time.Time // last return of the store after which an attempt was made at once
}

// Name returns "leadership".
func (c *Leadership) Name() string { return "leadership" }

// Next returns when the next renewal or attempt is due.
func (c *Leadership) Next(s *State) time.Time {
	switch {
	case c.inFlight:
		return s.Now().Add(time.Minute)
	case !c.mayHold(s):
		return s.Now().Add(time.Minute)
	case s.resumedAt().After(c.handledResume) || s.linksLost:
		return s.Now()
	default:
		return c.nextStep
	}
}

// candidateDelay returns the time to the next attempt of a candidate. It ends shortly after the term of the holder, in
// which a holder that is alive renews it several times.
func (c *Leadership) candidateDelay(err error) time.Duration {
	free := c.Lease.FreeIn()
	if err != nil || free == 0 {
		return c.CandidateInterval
	}
	return min(free+time.Duration(c.Random()*float64(maxCandidateJitter)), c.CandidateInterval)
}

// mayHold reports whether this entry holds the lease, is a candidate for it, or has to release it. Without links to the runners
// it is no candidate: it would take sound runners for dead ones.
func (c *Leadership) mayHold(s *State) bool {
	if s.linksLost && !c.Stopping() {
		return s.grant.Valid(s.Now()) && !c.yielding
	}
	return s.grant.Valid(s.Now()) || s.hubRank >= 0 && s.hubRank < CandidateCount || c.Stopping() && !c.released
}

// Reconcile renews or tries to acquire the lease, and releases it when the entry is stopping.
func (c *Leadership) Reconcile(s *State) []Task {
	if c.nextStep.IsZero() {
		c.nextStep = s.Now().Add(c.InitialDelay)
	}
	if s.resumedAt().After(c.handledResume) {
		// The holder could not renew the lease during the outage, and runners may have left meanwhile. After a restore, it writes
		// its row again, and the term for which the others wait begins when they read the row.
		c.handledResume, c.nextStep = s.resumedAt(), s.Now()
	}
	if s.linksLost {
		c.nextStep = s.Now()
	} else {
		c.yielding = false
	}
	if c.inFlight || s.Now().Before(c.nextStep) || !c.mayHold(s) {
		return nil
	}
	if c.Stopping() {
		return c.release()
	}
	if s.linksLost {
		c.yielding, c.inFlight = true, true
		return c.giveUp()
	}
	c.inFlight = true
	held := s.grant.Valid(s.Now())
	return []Task{NewTask(c.Name(), func(ctx context.Context) Event {
		ctx, cancel := context.WithTimeout(ctx, ReplyTimeout)
		defer cancel()
		g, err := c.Lease.AcquireOrRenew(ctx)
		return EventFunc(func(s *State) {
			c.inFlight = false
			s.grant, s.leaseHolder = g, c.Lease.HolderAddress()
			holds := g.Valid(s.Now())
			if holds {
				c.nextStep = s.Now().Add(c.RenewInterval)
			} else {
				c.nextStep = s.Now().Add(c.candidateDelay(err))
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
	return c.giveUp()
}

// giveUp is the task that makes the lease free for another entry.
func (c *Leadership) giveUp() []Task {
	return []Task{NewTask(c.Name(), func(ctx context.Context) Event {
		ctx, cancel := context.WithTimeout(ctx, ReplyTimeout)
		defer cancel()
		err := c.Lease.Release(ctx)
		return EventFunc(func(s *State) {
			if s.grant.Valid(s.Now()) || err != nil {
				c.OnChange(false, s.grant.FencingToken(), err)
			}
			s.grant = bergamotlease.Grant{}
			c.inFlight = c.released // a stopping entry takes no further step
		})
	})}
}
