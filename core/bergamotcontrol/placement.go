package bergamotcontrol

import (
	"context"
	"slices"
	"time"

	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotlease"
	"bergamotspur/core/bergamotplacement"
)

// Leaser acquires and renews the lease of the placement controller.
type Leaser interface {
	// AcquireOrRenew acquires the lease, or renews it, and returns the grant of this entry, invalid if another one holds the lease.
	AcquireOrRenew(ctx context.Context) (bergamotlease.Grant, error)
}

// Orderer sends a runner the order to hold these layers. The token is the fencing token of the lease.
type Orderer interface {
	Order(ctx context.Context, address string, token int64, holdings []bergamotfleet.Holding) error
}

// WeightStore is the rate-limited weight store.
type WeightStore interface {
	// Reserve reserves the load of that many layers. If the rate does not allow it now, wait is the time until the
	// next try.
	Reserve(ctx context.Context, layers int) (wait time.Duration, err error)
}

// Placement is the controller that orders the runners to hold what the bundle declares, while this entry holds the lease.
type Placement struct {
	Lease              Leaser
	Engine             Orderer
	WeightStore        WeightStore
	Clock              interface{ Now() time.Time }
	RenewPeriod        time.Duration         // time between two renewals of the lease, at most a third of its term
	Period             time.Duration         // time between two passes
	AcquireDelay       time.Duration         // wait after acquiring the lease, in which fresh reports replace the older ones
	OrderTimeout       time.Duration         // time after which an order that no report confirms is sent again
	MaxConcurrentLoads int                   // maximum number of runners that load at the same time
	OnError            func(err error)       // called with the errors of the lease, the weight store and the runners
	Count              func(name string)     // counts "placement.orders", "placement.waits", "placement.expired" and "placement.short"
	OnShortage         func(models []string) // called when the models that are short of runners change; may be nil

	grant     bergamotlease.Grant
	nextRenew time.Time
	nextPass  time.Time
	pending   map[string]pendingOrder
}

// pendingOrder is an order that a runner may be carrying out.
type pendingOrder struct {
	order     bergamotplacement.Order
	orderedAt time.Time
}

// Name returns "placement".
func (c *Placement) Name() string { return "placement" }

// Reconcile renews the lease and orders the missing layers.
func (c *Placement) Reconcile(s *State) (tasks []Task) {
	now := s.Now()
	if !now.Before(c.nextRenew) {
		c.nextRenew = now.Add(c.RenewPeriod)
		tasks = append(tasks, NewTask("lease", c.renewLease))
	}
	if !c.grant.Valid(now) {
		c.pending = nil
		s.shortOfRunners = nil // the holder of the lease reports it
		return tasks
	}
	if s.Bundle() == nil || now.Before(c.nextPass) || now.Before(c.grant.AcquiredAt().Add(c.AcquireDelay)) {
		return tasks
	}
	c.nextPass = now.Add(c.Period)
	// An order to a runner that has not reported yet would unload layers that it may hold.
	if !s.hasAllReports() {
		return tasks
	}
	c.removeFinishedOrders(s)
	// Most runners of a large fleet are probed rarely, so that their orders would stay pending until the next probe.
	for name := range c.pending {
		s.RequestReport(name)
	}
	f := s.Fleet()
	plan, pending := bergamotplacement.NewPlan(s.Bundle(), f), map[string]bool{}
	c.reportShortage(s, plan.UnderReplicated())
	for name := range c.pending {
		pending[name] = true
	}
	for _, o := range bergamotplacement.Orders(s.Bundle(), f, plan, pending, c.MaxConcurrentLoads-len(pending)) {
		c.pending[o.Runner()] = pendingOrder{order: o, orderedAt: now}
		tasks = append(tasks, c.orderTask(o, c.grant))
	}
	return tasks
}

// Next returns when the next renewal of the lease or the next pass is due.
func (c *Placement) Next(s *State) time.Time {
	if !c.grant.Valid(s.Now()) || s.Bundle() == nil {
		return c.nextRenew
	}
	pass := c.grant.AcquiredAt().Add(c.AcquireDelay)
	if pass.Before(c.nextPass) {
		pass = c.nextPass
	}
	if c.nextRenew.Before(pass) {
		return c.nextRenew
	}
	return pass
}

func (c *Placement) renewLease(ctx context.Context) Event {
	g, err := c.Lease.AcquireOrRenew(ctx)
	if err != nil {
		c.OnError(err)
	}
	return EventFunc(func(*State) { c.grant = g })
}

// reportShortage counts a shortage and reports a change of the models that are short of runners.
func (c *Placement) reportShortage(s *State, shortOfRunners []string) {
	if len(shortOfRunners) > 0 {
		c.Count("placement.short")
	}
	if c.OnShortage != nil && !slices.Equal(s.shortOfRunners, shortOfRunners) {
		c.OnShortage(shortOfRunners)
	}
	s.shortOfRunners = shortOfRunners
}

// removeFinishedOrders removes the pending orders that a later report confirms or that exceeded OrderTimeout.
func (c *Placement) removeFinishedOrders(s *State) {
	if c.pending == nil {
		c.pending = map[string]pendingOrder{}
	}
	for name, o := range c.pending {
		i, ok := s.Instance(name)
		confirmed := ok && i.Load().ReceivedAt().After(o.orderedAt) && o.order.IsMetBy(i)
		if !ok || confirmed || s.Now().Sub(o.orderedAt) >= c.OrderTimeout {
			delete(c.pending, name)
		}
	}
}

// orderTask reserves the load at the weight store and sends the order. The lease may have ended while the weight store
// was slow or this entry was paused, so it is checked right before the order is sent.
func (c *Placement) orderTask(o bergamotplacement.Order, g bergamotlease.Grant) Task {
	return NewTask(c.Name()+" "+o.Runner(), func(ctx context.Context) Event {
		if o.LayersToLoad() > 0 {
			wait, err := c.WeightStore.Reserve(ctx, o.LayersToLoad())
			if err != nil {
				c.OnError(err)
				return c.removePending(o)
			}
			if wait > 0 {
				c.Count("placement.waits")
				return c.removePending(o)
			}
		}
		if !g.Valid(c.Clock.Now()) {
			c.Count("placement.expired")
			return c.removePending(o)
		}
		c.Count("placement.orders")
		if err := c.Engine.Order(ctx, o.Address(), g.FencingToken(), o.Holdings()); err != nil {
			// The order may have taken effect, so it stays pending until a report confirms it or OrderTimeout has passed.
			c.OnError(err)
		}
		return nil
	})
}

// removePending returns an event that removes a pending order that was certainly not sent.
func (c *Placement) removePending(o bergamotplacement.Order) Event {
	return EventFunc(func(*State) { delete(c.pending, o.Runner()) })
}
