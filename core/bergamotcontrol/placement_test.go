package bergamotcontrol_test

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotcontrol"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotlease"
	"bergamotspur/core/bergamotmemory"
	"bergamotspur/core/bergamottest"
)

var errDown = errors.New("down")

// fakePlatform fakes the table, the weight store and the engines, each of which can fail.
type fakePlatform struct {
	*bergamotmemory.Store
	reserveWait   time.Duration
	onReserve     func()  // called during a reservation; may be nil
	orders        []int64 // fencing tokens of the accepted orders
	held          map[string][]bergamotfleet.Holding
	highestTokens map[string]int64
	checkTokens   bool // rejects orders with a token below the highest
	loseReply     bool // the next order takes effect, but its reply is lost
}

func (p *fakePlatform) Reserve(context.Context, int) (time.Duration, error) {
	if p.onReserve != nil {
		p.onReserve()
	}
	return p.reserveWait, nil
}

func (p *fakePlatform) Order(_ context.Context, address string, fencingToken int64, h []bergamotfleet.Holding) error {
	if p.checkTokens && fencingToken < p.highestTokens[address] {
		return errDown
	}
	p.highestTokens[address] = max(p.highestTokens[address], fencingToken)
	p.orders = append(p.orders, fencingToken)
	p.held[address] = h
	if p.loseReply {
		p.loseReply = false
		return errDown
	}
	return nil
}

// testEntry is the control state of one entry with the placement controller, whose passes the test runs.
type testEntry struct {
	state      *bergamotcontrol.State
	clock      *bergamotclock.Virtual
	controller *bergamotcontrol.Placement
	platform   *fakePlatform
	counts     map[string]int
}

func newEntry(name string, platform *fakePlatform) *testEntry {
	return newEntryWithVersion(name, platform, "1")
}

func newEntryWithVersion(name string, platform *fakePlatform, version string) *testEntry {
	e := &testEntry{state: bergamotcontrol.NewState(), clock: bergamotclock.NewVirtual(time.Unix(1000, 0)), platform: platform, counts: map[string]int{}}
	n := 0
	e.controller = &bergamotcontrol.Placement{
		Lease: &bergamotlease.Lease{
			Table: platform, Clock: e.clock, Key: "placement", Holder: name, Term: 10 * time.Second, Margin: 2 * time.Second,
			NewWriteID: func() string { n++; return name + strings.Repeat("x", n) },
		},
		Engine: platform, WeightStore: platform, Clock: e.clock, RenewPeriod: 3 * time.Second, Period: time.Second, AcquireDelay: 2 * time.Second,
		OrderTimeout: time.Minute, MaxConcurrentLoads: 2, OnError: func(error) {}, Count: func(name string) { e.counts[name]++ },
	}
	text := bergamottest.MinimalBundle + "[model m]\nlayers = 8\nversion = " + version + "\n[pipeline p]\nmodel = m\nreplicas = 3\n"
	b := bergamottest.Bundle(text)
	e.state.SetBundle(b)
	return e
}

// pass advances the time, updates the state with the holdings of the engines and runs one pass with its tasks.
func (e *testEntry) pass(d time.Duration) {
	e.clock.Advance(d)
	e.state.SetNow(e.clock.Now())
	for _, name := range []string{"a", "b", "c"} {
		e.state.PutInstance(bergamotfleet.NewInstance(bergamotfleet.Spec{
			Name: name, Address: name, Role: bergamotfleet.RoleRunner, MaxLayers: 8, Holdings: e.platform.held[name],
			Load: bergamotfleet.NewLoad(0, 0, e.clock.Now()),
		}))
	}
	e.run(e.controller.Reconcile(e.state))
}

func (e *testEntry) run(tasks []bergamotcontrol.Task) {
	for _, t := range tasks {
		if event := t.Run(context.Background()); event != nil {
			event.Apply(e.state)
		}
	}
}

func (e *testEntry) passes(n int) {
	for range n {
		e.pass(time.Second)
	}
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{Store: bergamotmemory.NewStore(), held: map[string][]bergamotfleet.Holding{}, highestTokens: map[string]int64{}}
}

var _ = ginkgo.Describe("Placement", func() {
	ginkgo.It("orders what the bundle declares, few runners at a time, also after a lost reply", func() {
		p := newFakePlatform()
		p.loseReply = true
		e := newEntry("x", p)
		e.passes(3)
		gomega.Expect(p.orders).To(gomega.HaveLen(2))
		e.passes(10)
		gomega.Expect(p.held).To(gomega.HaveLen(3))
		gomega.Expect(p.orders).To(gomega.Equal([]int64{1, 1, 1}))
	})

	// Guards against loads beyond the rate limit of the weight store.
	ginkgo.It("orders nothing while the weight store makes it wait", func() {
		p := newFakePlatform()
		p.reserveWait = time.Hour
		e := newEntry("x", p)
		e.passes(20)
		gomega.Expect(p.orders).To(gomega.BeEmpty())
		p.reserveWait = 0
		e.passes(5)
		gomega.Expect(p.held).To(gomega.HaveLen(3))
	})

	// Guards against an order by a holder of the lease that was paused between the plan and the order.
	ginkgo.It("sends no order when the lease ended during the reservation", func() {
		p := newFakePlatform()
		e := newEntry("x", p)
		p.onReserve = func() { e.clock.Advance(time.Hour) }
		e.passes(4)
		gomega.Expect(p.orders).To(gomega.BeEmpty())
		gomega.Expect(e.counts["placement.expired"]).To(gomega.BeNumerically(">", 0))
	})

	ginkgo.It("sends no orders during a long outage of the table and resumes after it", func() {
		p := newFakePlatform()
		e := newEntry("x", p)
		e.passes(10)
		p.Outage = []string{bergamotmemory.Any}
		e.passes(10)
		p.held["b"] = nil
		orders := len(p.orders)
		for range 100 {
			e.pass(2 * time.Minute)
		}
		gomega.Expect(p.orders).To(gomega.HaveLen(orders))
		p.Outage = nil
		e.passes(20)
		gomega.Expect(p.held["b"]).To(gomega.HaveLen(1))
	})

	// Guards against lasting effects of a suspended holder of the lease: its clock stands still, so it considers its
	// lease valid when it resumes and sends an outdated order. A target that checks the fencing token rejects the order;
	// at one that does not, the next pass of the new holder corrects its effect.
	for name, checkTokens := range map[string]bool{"checks the fencing token": true, "ignores the fencing token": false} {
		ginkgo.It("corrects a late order of a suspended holder at a target that "+name, func() {
			p := newFakePlatform()
			p.checkTokens = checkTokens
			old, next := newEntry("x", p), newEntryWithVersion("y", p, "2")
			old.passes(2)
			old.clock.Advance(time.Second)
			old.state.SetNow(old.clock.Now())
			late := old.controller.Reconcile(old.state)
			gomega.Expect(late).NotTo(gomega.BeEmpty())
			next.passes(30)
			before := p.held["a"]
			gomega.Expect(before[0].Version()).To(gomega.Equal("2"))
			orders := len(p.orders)
			old.run(late)
			if checkTokens {
				gomega.Expect(p.orders).To(gomega.HaveLen(orders))
			} else {
				gomega.Expect(p.held["a"][0].Version()).To(gomega.Equal("1"))
			}
			next.passes(5)
			gomega.Expect(p.held["a"]).To(gomega.Equal(before))
			gomega.Expect(p.held["b"]).To(gomega.Equal(before))
		})
	}
})
