package bergamotcluster_test

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotcluster"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotlayout"
	"bergamotspur/core/bergamotmemory"
	"bergamotspur/core/bergamottest"
)

// lateRunners are runners that may carry out orders late and without an answer, by address.
type lateRunners struct {
	now       time.Duration
	delay     time.Duration // of the orders that are sent now, 0 for those that are answered at once
	fenced    bool          // the runners have seen a higher fencing token than those of the entries
	sent      []sentOrder
	held      map[string]bergamotlayout.Span
	accepted  map[string]int64
	latest    map[string]int // the order that was carried out last
	overtaken []string       // orders that were carried out after a later one
	refused   map[string]int // answered with a refusal, by order
}

// rowInterval is the time between two rows of a runner.
const rowInterval = time.Second

// sentOrder is an order that arrives at a time.
type sentOrder struct {
	number  int // in the order in which they were sent
	arrives time.Duration
	address string
	order   bergamotcluster.Order
}

func (f *lateRunners) Place(_ context.Context, address string, o bergamotcluster.Order) error {
	s := sentOrder{number: len(f.sent), arrives: f.now + f.delay, address: address, order: o}
	f.sent = append(f.sent, s)
	if f.delay > 0 {
		return errors.New("no answer")
	}
	err := f.carryOut(s)
	if err != nil {
		f.refused[fmt.Sprint(address, o.Span(), o.OrderCount())]++
	}
	return err
}

func (f *lateRunners) carryOut(s sentOrder) error {
	if f.fenced {
		return bergamotcluster.ErrOrderFenced
	}
	if s.order.OrderCount() != f.accepted[s.address] {
		return bergamotcluster.ErrOrderRefused
	}
	if s.number < f.latest[s.address] {
		f.overtaken = append(f.overtaken, fmt.Sprintf("%s: order %d after %d", s.address, s.number, f.latest[s.address]))
	}
	f.held[s.address], f.latest[s.address] = s.order.Span(), s.number
	f.accepted[s.address]++
	return nil
}

func (f *lateRunners) Report(_ context.Context, address string) (bergamotcluster.Report, error) {
	spec := bergamotcluster.ReportSpec{StartTime: 1, OrderCount: f.accepted[address], Holdings: f.holdings(address)}
	return bergamotcluster.NewReport(spec), nil
}

func (f *lateRunners) holdings(address string) []bergamotfleet.Holding {
	s := f.held[address]
	if s.Len() == 0 {
		return nil
	}
	return []bergamotfleet.Holding{bergamotfleet.NewHolding("m", "1", s.From(), s.To())}
}

// advance carries out the orders that arrive, and runs the controllers of these entries, which read the rows of the runners.
func (f *lateRunners) advance(d time.Duration, entries ...*placementFixture) {
	before := f.now
	f.now += d
	for _, s := range f.sent {
		if s.arrives > before && s.arrives <= f.now {
			_ = f.carryOut(s) // nobody gets the answer
		}
	}
	for _, p := range entries {
		for _, i := range p.state.Fleet().Instances() {
			spec := i.Spec()
			spec.Holdings = f.holdings(i.Name())
			if f.now/rowInterval != before/rowInterval {
				p.state.PutRunner(spec)
			}
		}
		p.advance(start.Add(f.now).Sub(p.clock.Now()))
	}
}

func newLateRunners(entries ...*placementFixture) *lateRunners {
	f := &lateRunners{
		held: map[string]bergamotlayout.Span{}, accepted: map[string]int64{}, latest: map[string]int{}, refused: map[string]int{},
	}
	for _, p := range entries {
		p.placement.Orders, p.placement.Reports = f, f
	}
	return f
}

type refusedOrderCase struct {
	accepted int64 // orders of which the rows of the runners show nothing
	fenced   bool
	orders   int // that each runner gets within 5 s
}

type lateOrderCase struct {
	delay    time.Duration // of the orders of the first holder
	restored bool          // the store is restored from a copy while they are on their way
	stays    bool          // the holder stays the same
}

var _ = ginkgo.Describe("orders to hold layers", func() {
	const s = time.Second
	// Guards against a delayed order that is carried out after a later one of the same or the next holder: its runner then drops
	// layers that the others count on.
	bergamottest.Cases(map[string]lateOrderCase{
		"that are 2 s late are not carried out after those of the next holder":                {delay: 2 * s},
		"that are 4 s late are not carried out after those of the next holder":                {delay: 4 * s},
		"that are 8 s late are not carried out after those of the next holder":                {delay: 8 * s},
		"that are 12 s late are not carried out after those of the next holder":               {delay: 12 * s},
		"that are 4 s late are not carried out after those of the next holder and a restore":  {delay: 4 * s, restored: true},
		"that are 12 s late are not carried out after those of the next holder and a restore": {delay: 12 * s, restored: true},
		"that are 4 s late are not carried out after those of the same holder":                {delay: 4 * s, stays: true},
		"that are 8 s late are not carried out after those of the same holder":                {delay: 8 * s, stays: true},
		"that are 12 s late are not carried out after those of the same holder and a restore": {delay: 12 * s, stays: true, restored: true},
	}, func(c lateOrderCase) {
		table := bergamotmemory.NewStore()
		table.Era = 1
		one, two := newPlacement(table, "one"), newPlacement(table, "two")
		both := []*placementFixture{one, two}
		f := newLateRunners(both...)
		f.advance(0, both...)
		older := table.Clone()
		for range 20 {
			f.advance(250*time.Millisecond, both...)
		}
		gomega.Expect(one.state.View().HoldsPlacementLease()).To(gomega.BeTrue())
		settled := len(f.sent)
		// change makes one runner leave, so that others must take its layers, and another one join.
		change := func(leaves, joins string) {
			for _, p := range both {
				i, _ := p.state.Runner(leaves)
				spec := i.Spec()
				spec.Leaving = true
				p.state.PutRunner(spec)
				spec.Name, spec.Address, spec.Leaving, spec.Holdings = joins, joins, false, nil
				p.state.PutRunner(spec)
			}
		}
		change("w", "v")
		f.delay = c.delay
		for range 4 {
			f.advance(250*time.Millisecond, both...)
		}
		gomega.Expect(len(f.sent)).To(gomega.BeNumerically(">", settled))
		f.delay = 0
		if c.restored {
			table.Restore(older)
		}
		change("x", "u")
		running := both
		if !c.stays {
			running = []*placementFixture{two}
		}
		for range 100 {
			f.advance(250*time.Millisecond, running...)
		}
		gomega.Expect(f.overtaken).To(gomega.BeEmpty())
		gomega.Expect(f.refused).NotTo(gomega.ContainElement(gomega.BeNumerically(">", 1)), "repeated after a refusal")
		covered := map[int]bool{}
		for _, i := range two.state.Fleet().Instances() {
			for n := f.held[i.Name()].From(); !i.Leaving() && n < f.held[i.Name()].To(); n++ {
				covered[n] = true
			}
		}
		gomega.Expect(covered).To(gomega.HaveLen(8))
		gomega.Expect(len(f.sent)-settled).To(gomega.BeNumerically("<=", 16), "orders after the first ones")
	})

	// Guards against an order that is repeated after a refusal instead of planned anew from the runner's report, and against
	// orders to a runner that obeys another holder.
	bergamottest.Cases(map[string]refusedOrderCase{
		"are sent once to runners that accept them":                {orders: 1},
		"are planned anew for runners that accepted others before": {accepted: 5, orders: 2},
		"are not repeated at runners that obey another holder":     {fenced: true, orders: 1},
	}, func(c refusedOrderCase) {
		p := newPlacement(bergamotmemory.NewStore(), "one")
		f := newLateRunners(p)
		f.fenced = c.fenced
		for _, i := range p.state.Fleet().Instances() {
			f.accepted[i.Name()] = c.accepted
		}
		for range 26 {
			f.advance(250*time.Millisecond, p)
		}
		orders := map[string]int{}
		for _, s := range f.sent {
			orders[s.address]++
		}
		gomega.Expect(orders).NotTo(gomega.BeEmpty())
		gomega.Expect(orders).To(gomega.HaveEach(c.orders))
		gomega.Expect(f.refused).NotTo(gomega.ContainElement(gomega.BeNumerically(">", 1)))
	})
})
