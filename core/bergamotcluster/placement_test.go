package bergamotcluster_test

import (
	"errors"
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotcluster"
	"bergamotspur/core/bergamotconfig"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotlayout"
	"bergamotspur/core/bergamotlease"
	"bergamotspur/core/bergamotmemory"
	"bergamotspur/core/bergamotstore"
	"bergamotspur/core/bergamottest"
)

var llm = bergamotconfig.NewService("llm", bergamotconfig.NewEngine(bergamotconfig.EngineSpec{
	Model: "m", Layers: 8, LayerMB: 1000, TokenKB: 1, StepTime: time.Millisecond, LoadTime: time.Second, PromptTokens: 100, AnswerTokens: 100,
	Accelerators: []bergamotconfig.Accelerator{bergamotconfig.NewAccelerator("l4", 4000, 1)},
}))

// placing is a state with runners, a lease and a placement controller.
type placing struct {
	state *bergamotcluster.State
	clock *bergamotclock.Virtual
	lead  *bergamotcluster.Leadership
	ctrl  *bergamotcluster.Placement
	fleet *targets
	leave bool
}

func newPlacing(table bergamotlease.Table, holder string) *placing {
	p := &placing{state: newState(0), clock: bergamotclock.NewVirtual(start), fleet: &targets{held: map[string]bergamotlayout.Span{}, born: map[string]int64{}}}
	n := 0
	p.lead = &bergamotcluster.Leadership{
		Lease: &bergamotlease.Lease{
			Table: table, Clock: p.clock, Key: "placement", Holder: holder, Term: 2 * time.Second, Margin: 300 * time.Millisecond,
			NewWriteID: func() string { n++; return fmt.Sprint(holder, n) },
		},
		Renew: 700 * time.Millisecond, Seek: time.Second, Rest: time.Second, Report: func(bool, int64, error) {}, Leave: func() bool { return p.leave },
	}
	p.ctrl = &bergamotcluster.Placement{
		Clock: p.clock, Orders: p.fleet, Reports: p.fleet, Report: func(string, bergamotlayout.Span, string, error) {},
	}
	p.state.SetConfig(bergamotconfig.New(bergamotconfig.Spec{Version: 1, Services: []bergamotconfig.Service{llm}}))
	roster := &bergamotcluster.Roster{Decoder: decoder{}, Report: func(bergamotfleet.Instance, string, error) {}}
	roster.Replace(p.state, []bergamotstore.Row{row("w", "ready"), row("x", "ready"), row("y", "ready"), row("z", "ready")})
	return p
}

// pass moves the time and runs both controllers.
func (p *placing) pass(d time.Duration) {
	p.clock.Advance(d)
	p.state.Wake(p.clock.Now())
	run(p.state, p.lead.Reconcile(p.state))
	run(p.state, p.ctrl.Reconcile(p.state))
}

var _ = ginkgo.Describe("the placement", func() {
	// Guards against a plan over half of the fleet, whose runners would be ordered beyond their memory.
	ginkgo.It("waits until no runner has joined for a while, then covers all layers", func() {
		p := newPlacing(bergamotmemory.NewStore(), "one")
		p.pass(time.Second)
		gomega.Expect(p.fleet.orders).To(gomega.BeEmpty())
		p.pass(500 * time.Millisecond)
		n := 0
		for _, s := range p.fleet.held {
			n += s.Len()
		}
		gomega.Expect(n).To(gomega.BeNumerically(">=", 8))
	})

	// Guards against two entries that order runners at the same time.
	ginkgo.It("gives no order without the lease", func() {
		store := bergamotmemory.NewStore()
		one, two := newPlacing(store, "one"), newPlacing(store, "two")
		for range 5 {
			one.pass(600 * time.Millisecond)
			two.pass(600 * time.Millisecond)
		}
		gomega.Expect(one.fleet.orders).NotTo(gomega.BeEmpty())
		gomega.Expect(two.fleet.orders).To(gomega.BeEmpty())
	})

	// Guards against an order by an entry that was paused between its decision and the order.
	ginkgo.It("checks the lease again right before each order", func() {
		p := newPlacing(bergamotmemory.NewStore(), "one")
		p.pass(0)
		p.clock.Advance(1500 * time.Millisecond)
		p.state.Wake(p.clock.Now())
		tasks := p.ctrl.Reconcile(p.state)
		gomega.Expect(tasks).NotTo(gomega.BeEmpty())
		p.clock.Advance(5 * time.Second)
		run(p.state, tasks)
		gomega.Expect(p.fleet.orders).To(gomega.BeEmpty())
	})

	// Guards against a stopping entry that keeps the lease for its whole time to stop.
	ginkgo.It("passes to another entry when this one stops", func() {
		store := bergamotmemory.NewStore()
		one, two := newPlacing(store, "one"), newPlacing(store, "two")
		one.pass(0)
		two.pass(0)
		one.leave = true
		one.pass(time.Second)
		two.pass(1001 * time.Millisecond)
		gomega.Expect(two.state.View().Holder()).To(gomega.BeTrue())
	})

	// Guards against neighbours that shift in a release although the replacement registers at the same moment
	// (csst-kiosk-net mix --seed 542381727120).
	ginkgo.It("waits a moment for the replacement of a runner that leaves", func() {
		p := newPlacing(bergamotmemory.NewStore(), "one")
		w, _ := p.state.Runner("w")
		for _, name := range []string{"u", "v"} {
			spec := w.Spec()
			spec.Name, spec.Address = name, name
			p.state.Put(spec)
		}
		for range 10 {
			p.pass(500 * time.Millisecond)
		}
		orders := len(p.fleet.orders)
		for name, s := range p.fleet.held {
			if s.From() == 0 {
				i, _ := p.state.Runner(name)
				spec := i.Spec()
				spec.Leaving = true
				p.state.Put(spec)
			}
		}
		p.pass(50 * time.Millisecond)
		gomega.Expect(p.fleet.orders).To(gomega.HaveLen(orders))
		p.pass(100 * time.Millisecond)
		gomega.Expect(len(p.fleet.orders)).To(gomega.BeNumerically(">", orders))
	})

	// Guards against a runner that is given its layers over and over because an answer was lost, and against one that
	// never gets them because an order was lost.
	ginkgo.It("repeats an order only when its runner did not carry it out", func() {
		p := newPlacing(bergamotmemory.NewStore(), "one")
		p.fleet.err = errors.New("no answer")
		p.pass(0)
		p.pass(1500 * time.Millisecond)
		first := len(p.fleet.orders)
		gomega.Expect(first).To(gomega.BeNumerically(">", 0))
		p.pass(500 * time.Millisecond)
		gomega.Expect(p.fleet.orders).To(gomega.HaveLen(first))
		p.fleet.err = nil
		for range 30 {
			p.pass(400 * time.Millisecond)
		}
		gomega.Expect(p.fleet.held).NotTo(gomega.BeEmpty())
	})
})

type stateCase struct {
	change func(s *bergamotcluster.State)
	usable bool
}

var _ = ginkgo.Describe("a runner in the state", func() {
	spec := bergamotfleet.Spec{Name: "x", Address: "x", Role: "llm", Born: 1}
	with := func(f func(s *bergamotfleet.Spec)) bergamotfleet.Spec {
		c := spec
		f(&c)
		return c
	}
	// Guards against work for a runner that does not answer or leaves, and against one that stays out for good.
	bergamottest.Entries(map[string]stateCase{
		"is usable":                   {func(*bergamotcluster.State) {}, true},
		"is not usable after failing": {func(s *bergamotcluster.State) { s.Fail("x") }, false},
		"stays failed when its entry is written": {func(s *bergamotcluster.State) {
			s.Fail("x")
			s.Put(spec)
		}, false},
		"is usable again after a check": {func(s *bergamotcluster.State) {
			s.Fail("x")
			s.Restore("x")
		}, true},
		"is usable as another process under the same name": {func(s *bergamotcluster.State) {
			s.Fail("x")
			s.Put(with(func(c *bergamotfleet.Spec) { c.Born = 2 }))
		}, true},
		"stays leaving when an older entry comes late": {func(s *bergamotcluster.State) {
			s.Put(with(func(c *bergamotfleet.Spec) { c.Leaving = true }))
			s.Put(spec)
		}, false},
	}, func(c stateCase) {
		s := newState(0)
		s.Put(spec)
		c.change(s)
		i, _ := s.Runner("x")
		gomega.Expect(i.Usable()).To(gomega.Equal(c.usable))
		f, _ := s.View().Fleet().Instance("x")
		gomega.Expect(f.Usable()).To(gomega.Equal(c.usable))
	})

	// Guards against a check that takes another process at the address for the runner.
	ginkgo.It("is restored only by a report of the same process", func() {
		s, f := newState(0), &targets{held: map[string]bergamotlayout.Span{}, born: map[string]int64{"x": 2}}
		s.Put(spec)
		s.Fail("x")
		checks := &bergamotcluster.Checks{Source: f, Report: func(string) {}}
		run(s, checks.Reconcile(s))
		i, _ := s.Runner("x")
		gomega.Expect(i.Usable()).To(gomega.BeFalse())
		f.born["x"] = 1
		s.Wake(start.Add(time.Second))
		run(s, checks.Reconcile(s))
		i, _ = s.Runner("x")
		gomega.Expect(i.Usable()).To(gomega.BeTrue())
	})
})
