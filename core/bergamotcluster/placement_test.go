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

// placementFixture is a state with runners, and the controllers of the lease and the placement.
type placementFixture struct {
	state      *bergamotcluster.State
	clock      *bergamotclock.Virtual
	leadership *bergamotcluster.Leadership
	placement  *bergamotcluster.Placement
	runners    *fakeRunners
	stopping   bool
	links      ownLinks
	linkCheck  *bergamotcluster.LinkCheck
}

func newPlacement(table bergamotlease.Table, holder string) *placementFixture {
	p := &placementFixture{state: newState(0), clock: bergamotclock.NewVirtual(start), runners: &fakeRunners{held: map[string]bergamotlayout.Span{}, startTimes: map[string]int64{}}}
	p.linkCheck = &bergamotcluster.LinkCheck{Links: &p.links, Prober: &p.links, Random: func(int) int { return 0 }}
	n := 0
	p.leadership = &bergamotcluster.Leadership{
		Lease: &bergamotlease.Lease{
			Table: table, Clock: p.clock, Key: "placement", Holder: holder, Term: 2 * time.Second, Margin: 300 * time.Millisecond,
			NewWriteID: func() string { n++; return fmt.Sprint(holder, n) }, OnRestore: func(bergamotlease.RestoreOutcome) {},
		},
		RenewInterval: 700 * time.Millisecond, CandidateInterval: time.Second, Random: func() float64 { return 0 }, OnChange: func(bool, int64, error) {}, Stopping: func() bool { return p.stopping },
	}
	p.placement = &bergamotcluster.Placement{
		Clock: p.clock, Orders: p.runners, Reports: p.runners, OnOrder: func(string, bergamotlayout.Span, string, error) {},
	}
	p.state.SetConfig(bergamotconfig.New(bergamotconfig.Spec{Version: 1, Services: []bergamotconfig.Service{llm}}))
	hubs := newHubs(newHubTable(p.state.Now), holder, "a")
	runTasks(p.state, hubs.Reconcile(p.state))
	roster := &bergamotcluster.Roster{Decoder: fakeDecoder{}, OnRunnerChange: func(bergamotfleet.Instance, string, error) {}}
	roster.Replace(p.state, []bergamotstore.Row{row("w", "ready"), row("x", "ready"), row("y", "ready"), row("z", "ready")})
	return p
}

// advance moves the clocks forward and runs the controllers.
func (p *placementFixture) advance(d time.Duration) {
	p.clock.Advance(d)
	p.state.SetTime(p.clock.Now())
	runTasks(p.state, p.linkCheck.Reconcile(p.state))
	runTasks(p.state, p.leadership.Reconcile(p.state))
	runTasks(p.state, p.placement.Reconcile(p.state))
}

var _ = ginkgo.Describe("the placement", func() {
	// Guards against planning from half of the runners, which would be ordered to hold more layers than fit into their
	// memory.
	ginkgo.It("waits until no runner has joined for a while, then covers all layers", func() {
		p := newPlacement(bergamotmemory.NewStore(), "one")
		p.advance(time.Second)
		gomega.Expect(p.runners.orders).To(gomega.BeEmpty())
		p.advance(500 * time.Millisecond)
		n := 0
		for _, s := range p.runners.held {
			n += s.Len()
		}
		gomega.Expect(n).To(gomega.BeNumerically(">=", 8))
	})

	// Guards against two entries sending orders at the same time.
	ginkgo.It("sends no orders without the lease", func() {
		store := bergamotmemory.NewStore()
		one, two := newPlacement(store, "one"), newPlacement(store, "two")
		for range 5 {
			one.advance(600 * time.Millisecond)
			two.advance(600 * time.Millisecond)
		}
		gomega.Expect(one.runners.orders).NotTo(gomega.BeEmpty())
		gomega.Expect(two.runners.orders).To(gomega.BeEmpty())
	})

	// Guards against an order from an entry whose process was paused between planning and sending it.
	ginkgo.It("checks the lease again right before each order", func() {
		p := newPlacement(bergamotmemory.NewStore(), "one")
		p.advance(0)
		p.clock.Advance(1500 * time.Millisecond)
		p.state.SetTime(p.clock.Now())
		tasks := p.placement.Reconcile(p.state)
		gomega.Expect(tasks).NotTo(gomega.BeEmpty())
		p.clock.Advance(5 * time.Second)
		runTasks(p.state, tasks)
		gomega.Expect(p.runners.orders).To(gomega.BeEmpty())
	})

	// Guards against a stopping entry that keeps the lease until its process ends.
	ginkgo.It("moves to another entry when this one stops", func() {
		store := bergamotmemory.NewStore()
		one, two := newPlacement(store, "one"), newPlacement(store, "two")
		one.advance(0)
		two.advance(0)
		one.stopping = true
		one.advance(time.Second)
		two.advance(1001 * time.Millisecond)
		gomega.Expect(two.state.View().HoldsPlacementLease()).To(gomega.BeTrue())
	})

	// Guards against neighbouring runners that load other layers during a release although the replacement of the leaving
	// runner registers at the same moment (csst-kiosk-net mix --seed 542381727120).
	ginkgo.It("waits briefly for the replacement of a leaving runner", func() {
		p := newPlacement(bergamotmemory.NewStore(), "one")
		w, _ := p.state.Runner("w")
		for _, name := range []string{"u", "v"} {
			spec := w.Spec()
			spec.Name, spec.Address = name, name
			p.state.PutRunner(spec)
		}
		for range 10 {
			p.advance(500 * time.Millisecond)
		}
		orders := len(p.runners.orders)
		for name, s := range p.runners.held {
			if s.From() == 0 {
				i, _ := p.state.Runner(name)
				spec := i.Spec()
				spec.Leaving = true
				p.state.PutRunner(spec)
			}
		}
		p.advance(50 * time.Millisecond)
		gomega.Expect(p.runners.orders).To(gomega.HaveLen(orders))
		p.advance(100 * time.Millisecond)
		gomega.Expect(len(p.runners.orders)).To(gomega.BeNumerically(">", orders))
	})

	// Guards against repeating an order that the runner received because only the answer was lost, and against never
	// repeating one that was lost itself.
	ginkgo.It("repeats an order only when its runner did not carry it out", func() {
		p := newPlacement(bergamotmemory.NewStore(), "one")
		p.runners.err = errors.New("no answer")
		p.advance(0)
		p.advance(1500 * time.Millisecond)
		first := len(p.runners.orders)
		gomega.Expect(first).To(gomega.BeNumerically(">", 0))
		p.advance(500 * time.Millisecond)
		gomega.Expect(p.runners.orders).To(gomega.HaveLen(first))
		p.runners.err = nil
		for range 30 {
			p.advance(400 * time.Millisecond)
		}
		gomega.Expect(p.runners.held).NotTo(gomega.BeEmpty())
	})
})

type runnerCase struct {
	change func(s *bergamotcluster.State)
	usable bool
}

var _ = ginkgo.Describe("a runner in the state", func() {
	spec := bergamotfleet.Spec{Name: "x", Address: "x", Role: "llm", StartTime: 1}
	withChange := func(f func(s *bergamotfleet.Spec)) bergamotfleet.Spec {
		c := spec
		f(&c)
		return c
	}
	// Guards against work for a runner that failed or is leaving, and against one that never gets work again.
	bergamottest.Cases(map[string]runnerCase{
		"is usable":                     {func(*bergamotcluster.State) {}, true},
		"is not usable after a failure": {func(s *bergamotcluster.State) { s.MarkFailed("x") }, false},
		"stays failed when its row is written again": {func(s *bergamotcluster.State) {
			s.MarkFailed("x")
			s.PutRunner(spec)
		}, false},
		"is usable again after a successful check": {func(s *bergamotcluster.State) {
			s.MarkFailed("x")
			s.ClearFailed("x")
		}, true},
		"is usable as a new process under the same name": {func(s *bergamotcluster.State) {
			s.MarkFailed("x")
			s.PutRunner(withChange(func(c *bergamotfleet.Spec) { c.StartTime = 2 }))
		}, true},
		"stays leaving when an outdated row arrives": {func(s *bergamotcluster.State) {
			s.PutRunner(withChange(func(c *bergamotfleet.Spec) { c.Leaving = true }))
			s.PutRunner(spec)
		}, false},
	}, func(c runnerCase) {
		s := newState(0)
		s.PutRunner(spec)
		c.change(s)
		i, _ := s.Runner("x")
		gomega.Expect(i.Usable()).To(gomega.Equal(c.usable))
		f, _ := s.View().Fleet().Instance("x")
		gomega.Expect(f.Usable()).To(gomega.Equal(c.usable))
	})

	// Guards against mistaking another process at the same address for the runner.
	ginkgo.It("recovers only by a report of the same process", func() {
		s, f := newState(0), &fakeRunners{held: map[string]bergamotlayout.Span{}, startTimes: map[string]int64{"x": 2}}
		s.PutRunner(spec)
		s.MarkFailed("x")
		checks := &bergamotcluster.HealthChecker{Source: f, OnRecovered: func(string) {}}
		runTasks(s, checks.Reconcile(s))
		i, _ := s.Runner("x")
		gomega.Expect(i.Usable()).To(gomega.BeFalse())
		f.startTimes["x"] = 1
		s.SetTime(start.Add(time.Second))
		runTasks(s, checks.Reconcile(s))
		i, _ = s.Runner("x")
		gomega.Expect(i.Usable()).To(gomega.BeTrue())
	})

	// Guards against checks of all runners, which fail together when the entry is cut off, that keep the reads of the store
	// waiting, and against runners that are never checked again.
	ginkgo.It("is checked after a bounded number of others", func() {
		s, f := newState(0), &fakeRunners{held: map[string]bergamotlayout.Span{}, startTimes: map[string]int64{}}
		for n := range 216 {
			name := fmt.Sprint("r", n)
			s.PutRunner(withChange(func(c *bergamotfleet.Spec) { c.Name, c.Address = name, name }))
			s.MarkFailed(name)
			f.startTimes[name] = 1
		}
		checks := &bergamotcluster.HealthChecker{Source: f, OnRecovered: func(string) {}}
		for round := range 4 {
			tasks := checks.Reconcile(s)
			gomega.Expect(len(tasks)).To(gomega.And(gomega.BeNumerically(">", 0), gomega.BeNumerically("<=", 64)), fmt.Sprint(round))
			gomega.Expect(checks.Reconcile(s)).To(gomega.BeEmpty())
			runTasks(s, tasks)
		}
		for _, i := range s.Fleet().Instances() {
			gomega.Expect(i.Usable()).To(gomega.BeTrue(), i.Name())
		}
	})
})
