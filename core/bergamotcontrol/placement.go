package bergamotcontrol

import (
	"context"
	"slices"
	"time"

	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotlease"
	"bergamotspur/core/bergamotplacement"
)

// Leaser holds the lease of the placement controller.
type Leaser interface {
	AcquireOrRenew(ctx context.Context) (bergamotlease.Grant, error)
}

// Orderer tells a runner what to hold.
type Orderer interface {
	Order(ctx context.Context, address string, number int64, holdings []bergamotfleet.Holding) error
}

// Weights is the rate-limited weight store.
type Weights interface {
	// Reserve asks for the right to load layers now. Without it wait tells when to ask again.
	Reserve(ctx context.Context, layers int) (wait time.Duration, err error)
}

// Placement is the controller that brings the runners to what the bundle declares, while this entry holds the lease.
type Placement struct {
	Lease   Leaser
	Engine  Orderer
	Weights Weights
	Clock   interface{ Now() time.Time }
	Renew   time.Duration // time between two steps of the lease, at most a third of its term
	Period  time.Duration // time between two passes
	Settle  time.Duration // time after acquiring the lease in which fresh reports replace those of before it
	Loading time.Duration // time after which an order that no report confirms is given again
	Loads   int           // most runners that load at the same time
	Report  func(err error)
	Count   func(name string)     // counts "placement.orders", "placement.waits", "placement.expired" and "placement.short"
	Short   func(models []string) // called when the models change for which there are too few runners; may be nil

	grant     bergamotlease.Grant
	nextRenew time.Time
	next      time.Time
	busy      map[string]ordered
}

// ordered is an order that a runner may be carrying out.
type ordered struct {
	order bergamotplacement.Order
	at    time.Time
}

// Name returns "placement".
func (c *Placement) Name() string { return "placement" }

// Reconcile renews the lease and orders what is missing.
func (c *Placement) Reconcile(s *State) (tasks []Task) {
	now := s.Now()
	if !now.Before(c.nextRenew) {
		c.nextRenew = now.Add(c.Renew)
		tasks = append(tasks, NewTask("lease", c.step))
	}
	if !c.grant.Valid(now) {
		c.busy = nil
		s.short = nil // another entry reports it
		return tasks
	}
	if s.Bundle() == nil || now.Before(c.next) || now.Before(c.grant.AcquiredAt().Add(c.Settle)) {
		return tasks
	}
	c.next = now.Add(c.Period)
	// What a runner holds that has not been asked yet is not known, and an order would unload it.
	if !s.allReported() {
		return tasks
	}
	c.settleOrders(s)
	// Most runners of a large fleet are asked seldom, so that an order would seem to take until then.
	for name := range c.busy {
		s.Ask(name)
	}
	f := s.Fleet()
	plan, busy := bergamotplacement.NewPlan(s.Bundle(), f), map[string]bool{}
	c.report(s, plan.UnderReplicated())
	for name := range c.busy {
		busy[name] = true
	}
	for _, o := range bergamotplacement.Orders(s.Bundle(), f, plan, busy, c.Loads-len(busy)) {
		c.busy[o.Runner()] = ordered{order: o, at: now}
		tasks = append(tasks, c.task(o, c.grant))
	}
	return tasks
}

// Next returns when the next step of the lease or the next pass is due.
func (c *Placement) Next(s *State) time.Time {
	if !c.grant.Valid(s.Now()) || s.Bundle() == nil {
		return c.nextRenew
	}
	pass := c.grant.AcquiredAt().Add(c.Settle)
	if pass.Before(c.next) {
		pass = c.next
	}
	if c.nextRenew.Before(pass) {
		return c.nextRenew
	}
	return pass
}

func (c *Placement) step(ctx context.Context) Event {
	g, err := c.Lease.AcquireOrRenew(ctx)
	if err != nil {
		c.Report(err)
	}
	return EventFunc(func(*State) { c.grant = g })
}

// report tells operators which models lack runners.
func (c *Placement) report(s *State, short []string) {
	if len(short) > 0 {
		c.Count("placement.short")
	}
	if c.Short != nil && !slices.Equal(s.short, short) {
		c.Short(short)
	}
	s.short = short
}

// settleOrders forgets the orders that a later report confirms and those that took too long.
func (c *Placement) settleOrders(s *State) {
	if c.busy == nil {
		c.busy = map[string]ordered{}
	}
	for name, o := range c.busy {
		i, ok := s.Instance(name)
		met := ok && i.Load().At().After(o.at) && o.order.IsMetBy(i)
		if !ok || met || s.Now().Sub(o.at) >= c.Loading {
			delete(c.busy, name)
		}
	}
}

// task reserves the rate and gives the order. The lease may have ended while the weight store was slow or this entry
// was paused, so that it is checked right before the command.
func (c *Placement) task(o bergamotplacement.Order, g bergamotlease.Grant) Task {
	return NewTask(c.Name()+" "+o.Runner(), func(ctx context.Context) Event {
		if o.LayersToLoad() > 0 {
			wait, err := c.Weights.Reserve(ctx, o.LayersToLoad())
			if err != nil {
				c.Report(err)
				return c.undo(o)
			}
			if wait > 0 {
				c.Count("placement.waits")
				return c.undo(o)
			}
		}
		if !g.Valid(c.Clock.Now()) {
			c.Count("placement.expired")
			return c.undo(o)
		}
		c.Count("placement.orders")
		if err := c.Engine.Order(ctx, o.Address(), g.FencingToken(), o.Holdings()); err != nil {
			// The order may have taken effect, so that the runner stays busy until it reports or the time has passed.
			c.Report(err)
		}
		return nil
	})
}

// undo forgets an order that was certainly not given.
func (c *Placement) undo(o bergamotplacement.Order) Event {
	return EventFunc(func(*State) { delete(c.busy, o.Runner()) })
}
