package bergamotlease_test

import (
	"context"
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotlease"
	"bergamotspur/core/bergamotmemory"
)

const (
	term   = 10 * time.Second
	margin = 2 * time.Second
)

func newLease(t *bergamotmemory.Store, clock bergamotlease.Clock, holder string) *bergamotlease.Lease {
	n := 0
	return &bergamotlease.Lease{
		Table: t, Clock: clock, Key: "placement", Holder: holder, Term: term, Margin: margin,
		Stamp: func() string { n++; return fmt.Sprint(holder, n) },
	}
}

// tableTime is a clock of the table service that is known to 20 ms.
type tableTime struct{ clock *bergamotclock.Virtual }

func (t tableTime) TableTime() (least, most time.Duration, ok bool) {
	at := time.Duration(t.clock.Now().UnixNano())
	return at - 10*time.Millisecond, at + 10*time.Millisecond, true
}

var _ = ginkgo.Describe("Lease", func() {
	var (
		ctx   = context.Background()
		clock *bergamotclock.Virtual
		store *bergamotmemory.Store
		a, b  *bergamotlease.Lease
	)
	ginkgo.BeforeEach(func() {
		clock, store = bergamotclock.NewVirtual(time.Unix(1000, 0)), bergamotmemory.NewStore()
		a, b = newLease(store, clock, "a"), newLease(store, clock, "b")
	})
	held := func(l *bergamotlease.Lease) bergamotlease.Grant {
		g, err := l.Step(ctx)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		return g
	}

	// Guards against a holder that takes a lost reply for a lost lease and leaves the fleet without a controller.
	ginkgo.It("reads a lost reply of acquire and of renew back", func() {
		store.Plan[bergamotmemory.Swap] = []bergamotmemory.Fault{bergamotmemory.Lost}
		gomega.Expect(held(a).Valid(clock.Now())).To(gomega.BeTrue())
		clock.Advance(term / 2)
		store.Plan[bergamotmemory.Swap] = []bergamotmemory.Fault{bergamotmemory.Lost}
		held(a)
		clock.Advance(term / 2)
		gomega.Expect(held(a).Number()).To(gomega.Equal(int64(1)))
	})

	// Guards against a term that begins when a lost write is found instead of when it was sent.
	ginkgo.It("counts the term of a write that took effect late from when it was sent", func() {
		store.Clock, store.Delay = clock, term-margin
		store.Plan[bergamotmemory.Swap] = []bergamotmemory.Fault{bergamotmemory.Late}
		gomega.Expect(held(a).Valid(clock.Now())).To(gomega.BeFalse())
		clock.Advance(term - margin)
		store.Outage = []string{bergamotmemory.Read}
		_, err := a.Step(ctx)
		gomega.Expect(err).To(gomega.HaveOccurred())
		store.Outage = nil
		gomega.Expect(held(a).Valid(clock.Now())).To(gomega.BeFalse())
	})

	// Guards against a fleet without a controller for a whole term after an outage, although the term has ended meanwhile.
	ginkgo.It("is taken over at once when the table's clock shows that its term has ended", func() {
		a.Times, b.Times = tableTime{clock}, tableTime{clock}
		g := held(a)
		clock.Advance(term - time.Millisecond)
		gomega.Expect(g.Valid(clock.Now())).To(gomega.BeFalse())
		gomega.Expect(held(b).Valid(clock.Now())).To(gomega.BeFalse())
		b = newLease(store, clock, "b")
		b.Times = tableTime{clock}
		clock.Advance(100 * time.Millisecond)
		gomega.Expect(held(b).Number()).To(gomega.Equal(int64(2)))
	})

	// Guards against a holder that gives commands after a pause in which another took over.
	ginkgo.It("ends before another entry takes over, with a higher number", func() {
		g := held(a)
		held(b)
		clock.Advance(term - margin)
		gomega.Expect(g.Valid(clock.Now())).To(gomega.BeFalse())
		gomega.Expect(held(b).Number()).To(gomega.BeZero())
		clock.Advance(margin)
		gomega.Expect(held(b).Number()).To(gomega.Equal(int64(2)))
		gomega.Expect(held(a).Number()).To(gomega.BeZero())
	})

	// Guards against a holder that keeps its lease through an outage of the table.
	ginkgo.It("ends during an outage of hours and is acquired again with a higher number", func() {
		g := held(a)
		store.Outage = []string{bergamotmemory.Any}
		for range 3 * 360 {
			clock.Advance(10 * time.Second)
			g, _ = a.Step(ctx)
			gomega.Expect(g.Valid(clock.Now())).To(gomega.BeFalse())
		}
		store.Outage = nil
		gomega.Expect(held(a).Number()).To(gomega.Equal(int64(2)))
	})

	ginkgo.It("is free at once after a release", func() {
		held(a)
		gomega.Expect(a.Release(ctx)).To(gomega.Succeed())
		gomega.Expect(held(b).Number()).To(gomega.Equal(int64(2)))
	})

	// Each holder's clock stands still at times, as on a suspended machine. A target that checks numbers is then safe
	// only if no two holders ever share one; without such pauses no two grants are valid at once.
	ginkgo.It("never gives a number twice and never has two valid holders", func() {
		rapid.Check(ginkgo.GinkgoTB(), func(t *rapid.T) {
			suspended := rapid.Bool().Draw(t, "suspended")
			store := bergamotmemory.NewStore()
			clocks := []*bergamotclock.Virtual{}
			leases := []*bergamotlease.Lease{}
			grants := make([]bergamotlease.Grant, 3)
			for n := range grants {
				clocks = append(clocks, bergamotclock.NewVirtual(time.Unix(int64(n)*1e6, 0)))
				leases = append(leases, newLease(store, clocks[n], fmt.Sprint(n)))
			}
			owners := map[int64]int{}
			for range rapid.IntRange(10, 120).Draw(t, "steps") {
				n := rapid.IntRange(0, 2).Draw(t, "holder")
				lose := rapid.IntRange(0, 4).Draw(t, "lose") == 0
				delay := rapid.IntRange(0, 6).Draw(t, "delay") == 0
				store.Plan[bergamotmemory.Swap], store.Outage = nil, nil
				if delay {
					store.Plan[bergamotmemory.Swap] = []bergamotmemory.Fault{bergamotmemory.Late}
				}
				if lose {
					store.Plan[bergamotmemory.Swap] = append(store.Plan[bergamotmemory.Swap], bergamotmemory.Lost)
				}
				if rapid.IntRange(0, 6).Draw(t, "down") == 0 {
					store.Outage = []string{bergamotmemory.Any}
				}
				if rapid.IntRange(0, 6).Draw(t, "read") == 0 {
					store.Outage = append(store.Outage, bergamotmemory.Read)
				}
				grants[n], _ = leases[n].Step(ctx)
				if rapid.Bool().Draw(t, "late") {
					store.Deliver()
				}
				valid := 0
				for k, g := range grants {
					if !g.Valid(clocks[k].Now()) {
						continue
					}
					valid++
					if owner, ok := owners[g.Number()]; ok && owner != k {
						t.Fatalf("number %d of holder %d belongs to holder %d", g.Number(), k, owner)
					}
					owners[g.Number()] = k
				}
				if !suspended && valid > 1 {
					t.Fatalf("%d valid holders", valid)
				}
				d := time.Duration(rapid.IntRange(0, 5000).Draw(t, "advance")) * time.Millisecond
				for k, c := range clocks {
					if !suspended || k != n {
						c.Advance(d)
					}
				}
			}
		})
	})
})
