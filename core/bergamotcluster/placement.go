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
	"bergamotspur/core/bergamotrate"
	"bergamotspur/core/bergamotstore"
)

const (
	// initialPlanDelay is the time without a joining runner that must pass before the first layers are placed. A plan
	// made from half of the runners would be replaced at once.
	initialPlanDelay = 1200 * time.Millisecond
	// joinPlanDelay replaces initialPlanDelay when layers are already placed, so that runners that are added together
	// are planned together.
	joinPlanDelay = 300 * time.Millisecond
	// gapPlanDelay replaces joinPlanDelay while a data centre lacks layers and has no path.
	gapPlanDelay = 150 * time.Millisecond
	// leavePlanDelay is the time that must pass after a runner started leaving. During a release its replacement
	// registers about 15 ms later and takes the same layers, whereas without it neighbouring runners would have to
	// load other layers.
	leavePlanDelay = 120 * time.Millisecond
	orderTimeout   = time.Second            // timeout for the reply to an order
	pollInterval   = 300 * time.Millisecond // time between two requests for the report of a loading runner
	// loadMargin is added to the expected loading time before the first request for the report.
	loadMargin = 150 * time.Millisecond
	// maxOrderAge is the time after which an unconfirmed order is abandoned and the runner is planned again. A runner may
	// carry out an order up to 12 s late; its row then shows that, and the next plan corrects it.
	maxOrderAge = 6 * time.Second
	// minLiveShare is the minimum share of the runners that must answer before layers are planned. An entry that reaches
	// fewer is probably cut off itself.
	minLiveShare = 0.5
)

// minLimitAge is how long a runner must have had a limit before the plan takes account of it. A shorter one has ended before the layers
// would be loaded elsewhere.
const minLimitAge = 3 * time.Second

// RunnerLimits has the requests a second that runners say they take from all entries together.
type RunnerLimits interface {
	// Limit returns the limit of a process and for how long it has said so; ok is false if it has none.
	Limit(process string) (l bergamotrate.Limit, age time.Duration, ok bool)
}

// unknownCount is the number of accepted orders of a runner that gave no report.
const unknownCount = -1

// Placement is the controller that plans the layers of all runners and orders them to load these while this entry holds
// the lease.
type Placement struct {
	Clock   interface{ Now() time.Time }
	Orders  Orderer
	Reports Reporter
	// Limits has the requests that runners say they take; nil for none.
	Limits RunnerLimits
	// OnOrder is called when an order was sent, and when it is confirmed or abandoned.
	OnOrder func(runner string, s bergamotlayout.Span, event string, err error)

	pending  map[string]*pendingOrder // by runner
	accepted orderCounts              // by the runners under the current fencing token
	token    int64                    // fencing token under which accepted was learned
}

// pendingOrder is an order that the runner has not confirmed yet.
type pendingOrder struct {
	span       bergamotlayout.Span
	startTime  int64     // of the runner's process, in Unix milliseconds
	lastActive time.Time // when the order was created or the runner last reported that it is busy
	nextPoll   time.Time // when to request the runner's report
	sent       bool      // whether the request with the order has ended
	refused    bool      // whether the runner will not carry it out
	count      int64     // orders that the runner should have accepted before it
}

// Name returns "placement".
func (c *Placement) Name() string { return "placement" }

// Next returns when the next plan or request for a report is due.
func (c *Placement) Next(s *State) time.Time {
	if !s.grant.Valid(s.Now()) {
		return s.Now().Add(time.Minute)
	}
	next := s.Now().Add(time.Second)
	if settled := s.lastJoined.Add(initialPlanDelay); settled.After(s.Now()) && settled.Before(next) {
		next = settled
	}
	if left := s.lastLeaving.Add(leavePlanDelay); left.After(s.Now()) && left.Before(next) {
		next = left
	}
	for _, wait := range []time.Duration{gapPlanDelay, joinPlanDelay} {
		if joined := s.lastJoined.Add(wait); joined.After(s.Now()) && joined.Before(next) {
			next = joined
		}
	}
	for _, f := range s.failed {
		if dead := f.since.Add(deadAfter); dead.After(s.Now()) && dead.Before(next) {
			next = dead
		}
	}
	for _, p := range c.pending {
		if p.nextPoll.Before(next) {
			next = p.nextPoll
		}
	}
	return next
}

// Reconcile orders the planned layers and requests reports from the runners that should have loaded theirs.
func (c *Placement) Reconcile(s *State) (tasks []Task) {
	if !s.grant.Valid(s.Now()) || s.Config() == nil || !s.hasRunnerList {
		c.pending = nil
		return nil
	}
	if token := s.grant.FencingToken(); c.pending == nil || c.token != token {
		// Another holder may have sent orders meanwhile.
		c.pending, c.accepted, c.token = map[string]*pendingOrder{}, orderCounts{}, token
	}
	c.resolvePending(s)
	for _, v := range s.Config().Services() {
		if v.Engine() != nil {
			tasks = append(tasks, c.planService(s, v.Name(), v.Engine())...)
		}
	}
	return append(tasks, c.pollTasks(s)...)
}

// resolvePending deletes the orders that were carried out, whose runner was restarted or removed, or that are too old.
func (c *Placement) resolvePending(s *State) {
	for name, p := range c.pending {
		i, ok := s.Runner(name)
		switch {
		case !ok || i.StartTime() != p.startTime:
			delete(c.pending, name)
		case heldSpan(i) == p.span:
			c.OnOrder(name, p.span, "loaded", nil)
			delete(c.pending, name)
		case s.Now().Sub(p.lastActive) > maxOrderAge:
			c.OnOrder(name, p.span, "not confirmed", nil)
			delete(c.pending, name)
		}
	}
}

// planService plans the layers of one service and returns the orders for the runners whose layers change.
func (c *Placement) planService(s *State, service string, e *bergamotconfig.Engine) (tasks []Task) {
	var runners, confirmed []bergamotlayout.Runner
	byName := map[string]bergamotfleet.Instance{}
	total, anyHeld := 0, false
	for _, i := range s.Fleet().ByRole(service) {
		kind, ok := e.Accelerator(i.Kind())
		if !ok {
			continue
		}
		total++
		if i.Leaving() || s.isDead(i.Name()) {
			continue
		}
		span, confirmedSpan := heldSpan(i), heldSpan(i)
		if p, ok := c.pending[i.Name()]; ok {
			span, confirmedSpan = p.span, intersect(p.span, confirmedSpan)
		}
		anyHeld = anyHeld || span.Len() > 0
		r := bergamotlayout.NewRunner(i.Name(), i.DataCentre(), kind.MemoryMB(), kind.Pace(), span)
		if c.Limits != nil {
			if l, age, limited := c.Limits.Limit(i.Process()); limited && age >= minLimitAge {
				r = r.WithRate(l.Rate())
			}
		}
		runners = append(runners, r)
		confirmed = append(confirmed, r.WithHeld(confirmedSpan))
		byName[i.Name()] = i
	}
	model := bergamotlayout.NewModel(e.Layers(), e.LayerMB(), e.TokenMB(), e.RequestTokens())
	delay := initialPlanDelay
	switch {
	case anyHeld && bergamotlayout.HasIncompleteDataCentre(model, confirmed):
		delay = gapPlanDelay
	case anyHeld:
		delay = joinPlanDelay
	}
	if s.Now().Sub(s.lastJoined) < delay || s.Now().Sub(s.lastLeaving) < leavePlanDelay || float64(len(runners)) < minLiveShare*float64(total) {
		return nil
	}
	layout := bergamotlayout.Planner{Model: model}
	plan := layout.Plan(runners)
	var orders []bergamotlayout.Order
	for n, r := range runners {
		span, ok := plan[r.Name()]
		if ok && span != r.Held() && c.pending[r.Name()] == nil {
			orders = append(orders, bergamotlayout.Order{Runner: confirmed[n], Span: span})
		}
	}
	for _, o := range bergamotlayout.AllowedOrders(layout.Model, confirmed, orders) {
		tasks = append(tasks, c.orderTask(s, byName[o.Runner.Name()], o, e))
	}
	return tasks
}

// orderTask returns a task that sends one order. It checks the lease again right before sending, since the process may
// have been paused.
func (c *Placement) orderTask(s *State, i bergamotfleet.Instance, o bergamotlayout.Order, e *bergamotconfig.Engine) Task {
	span := o.Span
	toLoad := max(span.Len()-overlapLen(span, heldSpan(i)), 0)
	loadTime := time.Duration(float64(e.LoadTime()) * float64(toLoad) / float64(e.Layers()))
	p := &pendingOrder{span: span, startTime: i.StartTime(), lastActive: s.Now(), nextPoll: s.Now().Add(orderTimeout + loadMargin)}
	c.pending[i.Name()] = p
	grant := s.grant
	began := s.Now()
	count, known := c.accepted.of(i.Name(), i.StartTime())
	if heldSpan(i).Len() == 0 {
		// A process that holds nothing has rarely accepted an order; if it has, it refuses this one.
		known = true
	}
	return NewTask("order "+i.Name(), func(ctx context.Context) Event {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		if !known {
			r, err := c.Reports.Report(ctx, i.Address())
			switch {
			case err == nil && r.StartTime() != i.StartTime():
				err = errors.New("another process reports")
			case err == nil && r.Busy():
				err = errors.New("the runner carries out another order")
			}
			if err != nil {
				return c.refusedEvent(i, p, unknownCount, "not sent", err)
			}
			count = r.OrderCount()
		}
		if !grant.Valid(c.Clock.Now()) {
			return EventFunc(func(*State) { delete(c.pending, i.Name()) })
		}
		err := c.Orders.Place(ctx, i.Address(), NewOrder(OrderSpec{
			Span: span, InterruptRequests: o.InterruptRequests, FencingToken: grant.FencingToken(), OrderCount: count,
		}))
		if errors.Is(err, ErrOrderRefused) {
			return c.refusedEvent(i, p, count, "refused", err)
		}
		return EventFunc(func(s *State) {
			c.OnOrder(i.Name(), span, "ordered after "+s.Now().Sub(began).Round(time.Millisecond).String(), err)
			if c.pending[i.Name()] != p {
				return
			}
			p.sent, p.nextPoll = true, s.Now().Add(min(loadTime, time.Second)+loadMargin)
			switch {
			case errors.Is(err, ErrOrderFenced):
				// Another entry holds the lease, or the runner is left to the next holder.
				p.nextPoll = s.Now().Add(maxOrderAge)
			case errors.Is(err, bergamotstore.ErrRejected):
				p.nextPoll = s.Now()
			}
			if err == nil {
				c.accepted.learn(i.Name(), i.StartTime(), count+1)
			} else {
				delete(c.accepted, i.Name())
			}
		})
	})
}

// refusedEvent returns the event of an order that its runner will not carry out. The runner is planned anew from the first
// report that shows another state than the order expected; reports lag, so that one is requested after a pause.
func (c *Placement) refusedEvent(i bergamotfleet.Instance, p *pendingOrder, count int64, event string, err error) Event {
	return EventFunc(func(s *State) {
		c.OnOrder(i.Name(), p.span, event, err)
		if c.pending[i.Name()] == p {
			p.sent, p.refused, p.count, p.nextPoll = true, true, count, s.Now().Add(pollInterval)
			delete(c.accepted, i.Name())
		}
	})
}

// pollTasks returns tasks that request reports from the runners that should have finished loading.
func (c *Placement) pollTasks(s *State) (tasks []Task) {
	for name, p := range c.pending {
		if !p.sent || s.Now().Before(p.nextPoll) {
			continue
		}
		p.nextPoll = s.Now().Add(pollInterval)
		i, ok := s.Runner(name)
		if !ok {
			continue
		}
		tasks = append(tasks, NewTask("ask "+name, c.poll(name, i.Address())))
	}
	slices.SortFunc(tasks, func(a, b Task) int { return cmp.Compare(a.Name(), b.Name()) })
	return tasks
}

// poll returns a task function that reads the report of a runner and updates its holdings and pending order.
func (c *Placement) poll(name, address string) func(ctx context.Context) Event {
	return func(ctx context.Context) Event {
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		r, err := c.Reports.Report(ctx, address)
		return EventFunc(func(s *State) {
			i, ok := s.Runner(name)
			if err != nil || !ok || i.StartTime() != r.StartTime() {
				return
			}
			if spec := i.Spec(); len(spec.Holdings) != len(r.Holdings()) || heldSpan(i) != spanOf(r.Holdings()) {
				spec.Holdings = r.Holdings()
				s.PutRunner(spec)
			}
			p := c.pending[name]
			if p == nil {
				return
			}
			c.accepted.learn(name, r.StartTime(), r.OrderCount())
			if p.refused && !r.Busy() && r.OrderCount() != p.count {
				delete(c.pending, name)
				return
			}
			if r.Busy() {
				// The runner keeps the layers that it is to unload until the streams that use them have finished.
				p.lastActive = s.Now()
			}
			if !r.Busy() && spanOf(r.Holdings()) != p.span && s.Now().Sub(p.lastActive) > time.Second {
				// The runner is idle but does not hold the ordered layers, so the order was lost or rejected.
				c.OnOrder(name, p.span, "not carried out", nil)
				delete(c.pending, name)
			}
		})
	}
}

// heldSpan returns the layers that a runner last reported.
func heldSpan(i bergamotfleet.Instance) bergamotlayout.Span { return spanOf(i.Holdings()) }

// spanOf returns the layers of the first holding, none if there is no holding.
func spanOf(holdings []bergamotfleet.Holding) bergamotlayout.Span {
	if len(holdings) == 0 {
		return bergamotlayout.Span{}
	}
	return bergamotlayout.NewSpan(holdings[0].From(), holdings[0].To())
}

func overlapLen(a, b bergamotlayout.Span) int { return intersect(a, b).Len() }

// intersect returns the layers that are in both ranges.
func intersect(a, b bergamotlayout.Span) bergamotlayout.Span {
	return bergamotlayout.NewSpan(max(a.From(), b.From()), min(a.To(), b.To()))
}
