package bergamotcluster

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"bergamotspur/core/bergamotconfig"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotlayout"
	"bergamotspur/core/bergamotstore"
)

const (
	// settleTime is how long no runner must have joined before the first layers are placed: a plan over half of the
	// list would be replaced at once.
	settleTime = 1200 * time.Millisecond
	// joinTime is the same when layers are already placed, so that runners which are added together are planned
	// together.
	joinTime = 300 * time.Millisecond
	// replaceTime is the same while a data centre lacks layers and has no path.
	replaceTime = 150 * time.Millisecond
	// leaveTime is the wait after a runner began to leave: in a release its replacement registers some 15 ms later and
	// takes its layers, while its neighbours would have to shift.
	leaveTime = 120 * time.Millisecond
	orderTime = time.Second            // time for the reply to an order
	askPeriod = 300 * time.Millisecond // time between two questions to a runner that loads
	// loadMargin is added to the expected time of a load before the runner is asked.
	loadMargin = 150 * time.Millisecond
	// orderLife is the time after which an order that was not confirmed is given up and planned anew. An order that
	// is carried out late, up to 12 s after it was given, shows in the list and is corrected by the next plan.
	orderLife = 6 * time.Second
	// failedShare is the part of the runners that must answer for a plan: an entry that reaches few runners is cut
	// off itself.
	failedShare = 0.5
)

// Placement is the controller that brings the runners to the planned layers while this entry holds the lease.
type Placement struct {
	Clock   interface{ Now() time.Time }
	Orders  Orderer
	Reports Reporter
	Report  func(runner string, s bergamotlayout.Span, what string, err error) // called for each order and its end

	pending map[string]*pending
}

// pending is an order whose effect has not been seen.
type pending struct {
	span  bergamotlayout.Span
	born  int64
	given time.Time
	ask   time.Time
	sent  bool
}

// Name returns "placement".
func (c *Placement) Name() string { return "placement" }

// Next returns when the next question or plan is due.
func (c *Placement) Next(s *State) time.Time {
	if !s.grant.Valid(s.Now()) {
		return s.Now().Add(time.Minute)
	}
	next := s.Now().Add(time.Second)
	if settled := s.joined.Add(settleTime); settled.After(s.Now()) && settled.Before(next) {
		next = settled
	}
	if left := s.left.Add(leaveTime); left.After(s.Now()) && left.Before(next) {
		next = left
	}
	for _, wait := range []time.Duration{replaceTime, joinTime} {
		if joined := s.joined.Add(wait); joined.After(s.Now()) && joined.Before(next) {
			next = joined
		}
	}
	for _, f := range s.failed {
		if dead := f.since.Add(deadTime); dead.After(s.Now()) && dead.Before(next) {
			next = dead
		}
	}
	for _, p := range c.pending {
		if p.ask.Before(next) {
			next = p.ask
		}
	}
	return next
}

// Reconcile orders what the plan asks for and asks the runners that should have finished.
func (c *Placement) Reconcile(s *State) (tasks []Task) {
	if !s.grant.Valid(s.Now()) || s.Config() == nil || !s.listed {
		c.pending = nil
		return nil
	}
	if c.pending == nil {
		c.pending = map[string]*pending{}
	}
	c.settle(s)
	for _, v := range s.Config().Services() {
		if v.Engine() != nil {
			tasks = append(tasks, c.place(s, v.Name(), v.Engine())...)
		}
	}
	return append(tasks, c.questions(s)...)
}

// settle ends the orders whose effect shows, whose runner is another process, or that are too old.
func (c *Placement) settle(s *State) {
	for name, p := range c.pending {
		i, ok := s.Runner(name)
		switch {
		case !ok || i.Born() != p.born:
			delete(c.pending, name)
		case held(i) == p.span:
			c.Report(name, p.span, "loaded", nil)
			delete(c.pending, name)
		case s.Now().Sub(p.given) > orderLife:
			c.Report(name, p.span, "not confirmed", nil)
			delete(c.pending, name)
		}
	}
}

// place plans the layers of one service and orders the differences.
func (c *Placement) place(s *State, service string, e *bergamotconfig.Engine) (tasks []Task) {
	var runners, certain []bergamotlayout.Runner
	fleet := map[string]bergamotfleet.Instance{}
	known, placed := 0, false
	for _, i := range s.Fleet().Role(service) {
		k, ok := e.Accelerator(i.Kind())
		if !ok {
			continue
		}
		known++
		if i.Leaving() || s.dead(i.Name()) {
			continue
		}
		span, has := held(i), held(i)
		if p, ok := c.pending[i.Name()]; ok {
			span, has = p.span, common(p.span, has)
		}
		placed = placed || span.Len() > 0
		r := bergamotlayout.NewRunner(i.Name(), i.DataCentre(), k.MemoryMB(), k.Pace(), span)
		runners = append(runners, r)
		certain = append(certain, r.WithHeld(has))
		fleet[i.Name()] = i
	}
	model := bergamotlayout.NewModel(e.Layers(), e.LayerMB(), e.TokenMB(), e.RequestTokens())
	wait := settleTime
	switch {
	case placed && bergamotlayout.HasIncompleteDataCentre(model, certain):
		wait = replaceTime
	case placed:
		wait = joinTime
	}
	if s.Now().Sub(s.joined) < wait || s.Now().Sub(s.left) < leaveTime || float64(len(runners)) < failedShare*float64(known) {
		return nil
	}
	layout := bergamotlayout.Planner{Model: model}
	plan := layout.Plan(runners)
	var orders []bergamotlayout.Order
	for n, r := range runners {
		span, ok := plan[r.Name()]
		if ok && span != r.Held() && c.pending[r.Name()] == nil {
			orders = append(orders, bergamotlayout.Order{Runner: certain[n], Span: span})
		}
	}
	for _, o := range bergamotlayout.AllowedOrders(layout.Model, certain, orders) {
		tasks = append(tasks, c.order(s, fleet[o.Runner.Name()], o, e))
	}
	return tasks
}

// order gives one order. The lease is checked again right before it is sent, since the process may have been paused.
func (c *Placement) order(s *State, i bergamotfleet.Instance, o bergamotlayout.Order, e *bergamotconfig.Engine) Task {
	span := o.Span
	loads := max(span.Len()-overlap(span, held(i)), 0)
	load := time.Duration(float64(e.LoadTime()) * float64(loads) / float64(e.Layers()))
	p := &pending{span: span, born: i.Born(), given: s.Now(), ask: s.Now().Add(orderTime + loadMargin)}
	c.pending[i.Name()] = p
	grant := s.grant
	began := s.Now()
	return NewTask("order "+i.Name(), func(ctx context.Context) Event {
		if !grant.Valid(c.Clock.Now()) {
			return EventFunc(func(*State) { delete(c.pending, i.Name()) })
		}
		ctx, cancel := context.WithTimeout(ctx, orderTime)
		defer cancel()
		err := c.Orders.Place(ctx, i.Address(), span, o.InterruptRequests)
		return EventFunc(func(s *State) {
			c.Report(i.Name(), span, "ordered after "+s.Now().Sub(began).Round(time.Millisecond).String(), err)
			if c.pending[i.Name()] != p {
				return
			}
			p.sent, p.ask = true, s.Now().Add(min(load, time.Second)+loadMargin)
			if errors.Is(err, bergamotstore.ErrRejected) {
				p.ask = s.Now()
			}
		})
	})
}

// questions asks the runners that should have finished loading.
func (c *Placement) questions(s *State) (tasks []Task) {
	for name, p := range c.pending {
		if !p.sent || s.Now().Before(p.ask) {
			continue
		}
		p.ask = s.Now().Add(askPeriod)
		i, ok := s.Runner(name)
		if !ok {
			continue
		}
		tasks = append(tasks, NewTask("ask "+name, c.ask(name, i.Address())))
	}
	slices.SortFunc(tasks, func(a, b Task) int { return cmp.Compare(a.Name(), b.Name()) })
	return tasks
}

func (c *Placement) ask(name, address string) func(ctx context.Context) Event {
	return func(ctx context.Context) Event {
		ctx, cancel := context.WithTimeout(ctx, checkTime)
		defer cancel()
		r, err := c.Reports.Report(ctx, address)
		return EventFunc(func(s *State) {
			i, ok := s.Runner(name)
			if err != nil || !ok || i.Born() != r.Born() {
				return
			}
			if spec := i.Spec(); len(spec.Holdings) != len(r.Holdings()) || held(i) != span(r.Holdings()) {
				spec.Holdings = r.Holdings()
				s.Put(spec)
			}
			p := c.pending[name]
			if p != nil && r.Busy() {
				// Layers that are given up wait for the streams that pass through them.
				p.given = s.Now()
			}
			if p != nil && !r.Busy() && span(r.Holdings()) != p.span && s.Now().Sub(p.given) > time.Second {
				// The runner is idle and did not do what was ordered, so the order was lost or rejected.
				c.Report(name, p.span, "not carried out", nil)
				delete(c.pending, name)
			}
		})
	}
}

// held returns the layers that a runner reports.
func held(i bergamotfleet.Instance) bergamotlayout.Span { return span(i.Holdings()) }

func span(holdings []bergamotfleet.Holding) bergamotlayout.Span {
	if len(holdings) == 0 {
		return bergamotlayout.Span{}
	}
	return bergamotlayout.NewSpan(holdings[0].From(), holdings[0].To())
}

func overlap(a, b bergamotlayout.Span) int { return common(a, b).Len() }

// common returns the layers that are in both ranges.
func common(a, b bergamotlayout.Span) bergamotlayout.Span {
	return bergamotlayout.NewSpan(max(a.From(), b.From()), min(a.To(), b.To()))
}
