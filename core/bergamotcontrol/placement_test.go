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

// platform is table, weight store and engines in one, each of which can fail.
type platform struct {
	*bergamotmemory.Store
	wait    time.Duration
	reserve func()
	orders  []int64
	held    map[string][]bergamotfleet.Holding
	highest map[string]int64
	fenced  bool
	lose    bool // the next order takes effect, its reply is lost
}

func (p *platform) Reserve(context.Context, int) (time.Duration, error) {
	if p.reserve != nil {
		p.reserve()
	}
	return p.wait, nil
}

func (p *platform) Order(_ context.Context, address string, number int64, h []bergamotfleet.Holding) error {
	if p.fenced && number < p.highest[address] {
		return errDown
	}
	p.highest[address] = max(p.highest[address], number)
	p.orders = append(p.orders, number)
	p.held[address] = h
	if p.lose {
		p.lose = false
		return errDown
	}
	return nil
}

// entry is one entry's control state with the placement controller, run by hand.
type entry struct {
	state *bergamotcontrol.State
	clock *bergamotclock.Virtual
	ctl   *bergamotcontrol.Placement
	p     *platform
	count map[string]int
}

func newEntry(name string, p *platform) *entry { return newVersion(name, p, "1") }

func newVersion(name string, p *platform, version string) *entry {
	e := &entry{state: bergamotcontrol.NewState(), clock: bergamotclock.NewVirtual(time.Unix(1000, 0)), p: p, count: map[string]int{}}
	n := 0
	e.ctl = &bergamotcontrol.Placement{
		Lease: &bergamotlease.Lease{
			Table: p, Clock: e.clock, Key: "placement", Holder: name, Term: 10 * time.Second, Margin: 2 * time.Second,
			NewWriteID: func() string { n++; return name + strings.Repeat("x", n) },
		},
		Engine: p, Weights: p, Clock: e.clock, Renew: 3 * time.Second, Period: time.Second, Settle: 2 * time.Second,
		Loading: time.Minute, Loads: 2, Report: func(error) {}, Count: func(name string) { e.count[name]++ },
	}
	text := bergamottest.BundleHead + "[model m]\nlayers = 8\nversion = " + version + "\n[pipeline p]\nmodel = m\nreplicas = 3\n"
	b := bergamottest.Bundle(text)
	e.state.SetBundle(b)
	return e
}

// pass advances the time, reports what the engines hold, and runs the tasks.
func (e *entry) pass(d time.Duration) {
	e.clock.Advance(d)
	e.state.SetNow(e.clock.Now())
	for _, name := range []string{"a", "b", "c"} {
		e.state.PutInstance(bergamotfleet.NewInstance(bergamotfleet.Spec{
			Name: name, Address: name, Role: bergamotfleet.RoleRunner, MaxLayers: 8, Holdings: e.p.held[name],
			Load: bergamotfleet.NewLoad(0, 0, e.clock.Now()),
		}))
	}
	e.run(e.ctl.Reconcile(e.state))
}

func (e *entry) run(tasks []bergamotcontrol.Task) {
	for _, t := range tasks {
		if event := t.Run(context.Background()); event != nil {
			event.Apply(e.state)
		}
	}
}

func (e *entry) passes(n int) {
	for range n {
		e.pass(time.Second)
	}
}

func newPlatform() *platform {
	return &platform{Store: bergamotmemory.NewStore(), held: map[string][]bergamotfleet.Holding{}, highest: map[string]int64{}}
}

var _ = ginkgo.Describe("Placement", func() {
	ginkgo.It("brings the runners to the bundle, few at a time, and survives a lost reply", func() {
		p := newPlatform()
		p.lose = true
		e := newEntry("x", p)
		e.passes(3)
		gomega.Expect(p.orders).To(gomega.HaveLen(2))
		e.passes(10)
		gomega.Expect(p.held).To(gomega.HaveLen(3))
		gomega.Expect(p.orders).To(gomega.Equal([]int64{1, 1, 1}))
	})

	// Guards against loads beyond the rate of the weight store.
	ginkgo.It("orders nothing while the weight store makes it wait", func() {
		p := newPlatform()
		p.wait = time.Hour
		e := newEntry("x", p)
		e.passes(20)
		gomega.Expect(p.orders).To(gomega.BeEmpty())
		p.wait = 0
		e.passes(5)
		gomega.Expect(p.held).To(gomega.HaveLen(3))
	})

	// Guards against a command by a holder that was paused between the decision and the command.
	ginkgo.It("gives no command when the lease ended while it waited", func() {
		p := newPlatform()
		e := newEntry("x", p)
		p.reserve = func() { e.clock.Advance(time.Hour) }
		e.passes(4)
		gomega.Expect(p.orders).To(gomega.BeEmpty())
		gomega.Expect(e.count["placement.expired"]).To(gomega.BeNumerically(">", 0))
	})

	ginkgo.It("stops during an outage of the table for hours and goes on after it", func() {
		p := newPlatform()
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

	// The first holder's machine is suspended, so that its clock stands still and it believes in its lease. A target
	// that checks the number rejects its late command; at one that ignores it the next pass repairs the effect.
	for name, fenced := range map[string]bool{"checks the number": true, "ignores the number": false} {
		ginkgo.It("corrects a suspended holder at a target that "+name, func() {
			p := newPlatform()
			p.fenced = fenced
			old, next := newEntry("x", p), newVersion("y", p, "2")
			old.passes(2)
			old.clock.Advance(time.Second)
			old.state.SetNow(old.clock.Now())
			late := old.ctl.Reconcile(old.state)
			gomega.Expect(late).NotTo(gomega.BeEmpty())
			next.passes(30)
			before := p.held["a"]
			gomega.Expect(before[0].Version()).To(gomega.Equal("2"))
			orders := len(p.orders)
			old.run(late)
			if fenced {
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
