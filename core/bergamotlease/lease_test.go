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
		NewWriteID: func() string { n++; return fmt.Sprint(holder, n) },
	}
}

// tableClock returns bounds of the time of the table service that are 20 ms apart.
type tableClock struct{ clock *bergamotclock.Virtual }

func (t tableClock) TableTime() (earliest, latest time.Duration, ok bool) {
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
	acquireOrRenew := func(l *bergamotlease.Lease) bergamotlease.Grant {
		g, err := l.AcquireOrRenew(ctx)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		return g
	}

	// Guards against a holder that takes a lost reply for a lost lease, which leaves the fleet without a controller.
	ginkgo.It("reads the row back when the reply to an acquisition or a renewal is lost", func() {
		store.Plan[bergamotmemory.Swap] = []bergamotmemory.Fault{bergamotmemory.ReplyLost}
		gomega.Expect(acquireOrRenew(a).Valid(clock.Now())).To(gomega.BeTrue())
		clock.Advance(term / 2)
		store.Plan[bergamotmemory.Swap] = []bergamotmemory.Fault{bergamotmemory.ReplyLost}
		acquireOrRenew(a)
		clock.Advance(term / 2)
		gomega.Expect(acquireOrRenew(a).FencingToken()).To(gomega.Equal(int64(1)))
	})

	// Guards against a term that starts when a write with a lost reply is found instead of when it was sent.
	ginkgo.It("counts the term of a write that takes effect late from when it was sent", func() {
		store.Clock, store.Delay = clock, term-margin
		store.Plan[bergamotmemory.Swap] = []bergamotmemory.Fault{bergamotmemory.Delayed}
		gomega.Expect(acquireOrRenew(a).Valid(clock.Now())).To(gomega.BeFalse())
		clock.Advance(term - margin)
		store.Outage = []string{bergamotmemory.Read}
		_, err := a.AcquireOrRenew(ctx)
		gomega.Expect(err).To(gomega.HaveOccurred())
		store.Outage = nil
		gomega.Expect(acquireOrRenew(a).Valid(clock.Now())).To(gomega.BeFalse())
	})

	// Guards against a fleet that stays without a controller for another term after an outage during which the term ended.
	ginkgo.It("is taken over at once when the table's clock shows that its term has ended", func() {
		a.RemoteClock, b.RemoteClock = tableClock{clock}, tableClock{clock}
		g := acquireOrRenew(a)
		clock.Advance(term - time.Millisecond)
		gomega.Expect(g.Valid(clock.Now())).To(gomega.BeFalse())
		gomega.Expect(acquireOrRenew(b).Valid(clock.Now())).To(gomega.BeFalse())
		b = newLease(store, clock, "b")
		b.RemoteClock = tableClock{clock}
		clock.Advance(100 * time.Millisecond)
		gomega.Expect(acquireOrRenew(b).FencingToken()).To(gomega.Equal(int64(2)))
	})

	// Guards against a holder that still gives commands after a pause during which another entry took over.
	ginkgo.It("expires before another entry takes over with a higher fencing token", func() {
		g := acquireOrRenew(a)
		acquireOrRenew(b)
		clock.Advance(term - margin)
		gomega.Expect(g.Valid(clock.Now())).To(gomega.BeFalse())
		gomega.Expect(acquireOrRenew(b).FencingToken()).To(gomega.BeZero())
		clock.Advance(margin)
		gomega.Expect(acquireOrRenew(b).FencingToken()).To(gomega.Equal(int64(2)))
		gomega.Expect(acquireOrRenew(a).FencingToken()).To(gomega.BeZero())
	})

	// Guards against a holder that relies on its lease throughout an outage of the table.
	ginkgo.It("expires during an outage of hours and is acquired again with a higher fencing token", func() {
		g := acquireOrRenew(a)
		store.Outage = []string{bergamotmemory.Any}
		for range 3 * 360 {
			clock.Advance(10 * time.Second)
			g, _ = a.AcquireOrRenew(ctx)
			gomega.Expect(g.Valid(clock.Now())).To(gomega.BeFalse())
		}
		store.Outage = nil
		gomega.Expect(acquireOrRenew(a).FencingToken()).To(gomega.Equal(int64(2)))
	})

	ginkgo.It("is free at once after a release", func() {
		acquireOrRenew(a)
		gomega.Expect(a.Release(ctx)).To(gomega.Succeed())
		gomega.Expect(acquireOrRenew(b).FencingToken()).To(gomega.Equal(int64(2)))
	})

	// Guards against two holders with the same fencing token, and against two valid grants at once, also when the table is restored
	// from an older copy and gives revisions out again. The latter is only
	// checked while no clock stands still as on a suspended machine; with such pauses, targets rely on the fencing token.
	ginkgo.It("never gives a fencing token to two holders and never has two valid holders", func() {
		rapid.Check(ginkgo.GinkgoTB(), func(t *rapid.T) {
			suspended := rapid.Bool().Draw(t, "suspended")
			store := bergamotmemory.NewStore()
			store.Era = int64(rapid.IntRange(0, 1).Draw(t, "era"))
			restores, older := store.Era > 0 && rapid.Bool().Draw(t, "restores"), store.Clone()
			store.Hook = func(context.Context, string) bergamotmemory.Fault {
				if restores && rapid.IntRange(0, 7).Draw(t, "restore") == 0 {
					store.Restore(older)
				}
				return bergamotmemory.OK
			}
			clocks := []*bergamotclock.Virtual{}
			leases := []*bergamotlease.Lease{}
			grants := make([]bergamotlease.Grant, 3)
			for n := range grants {
				clocks = append(clocks, bergamotclock.NewVirtual(time.Unix(int64(n)*1e6, 0)))
				leases = append(leases, newLease(store, clocks[n], fmt.Sprint(n)))
			}
			tableTime := bergamotclock.NewVirtual(time.Unix(5e6, 0))
			if rapid.Bool().Draw(t, "remote") {
				for _, l := range leases {
					l.RemoteClock = tableClock{tableTime}
				}
			}
			owners := map[int64]int{}
			for range rapid.IntRange(10, 120).Draw(t, "steps") {
				n := rapid.IntRange(0, 2).Draw(t, "holder")
				loseReply := rapid.IntRange(0, 4).Draw(t, "lose") == 0
				delay := rapid.IntRange(0, 6).Draw(t, "delay") == 0
				store.Plan[bergamotmemory.Swap], store.Outage = nil, nil
				if restores && rapid.IntRange(0, 4).Draw(t, "copy") == 0 {
					older = store.Clone()
				}
				if delay {
					store.Plan[bergamotmemory.Swap] = []bergamotmemory.Fault{bergamotmemory.Delayed}
				}
				if loseReply {
					store.Plan[bergamotmemory.Swap] = append(store.Plan[bergamotmemory.Swap], bergamotmemory.ReplyLost)
				}
				if rapid.IntRange(0, 6).Draw(t, "down") == 0 {
					store.Outage = []string{bergamotmemory.Any}
				}
				if rapid.IntRange(0, 6).Draw(t, "read") == 0 {
					store.Outage = append(store.Outage, bergamotmemory.Read)
				}
				if rapid.IntRange(0, 12).Draw(t, "release") == 0 {
					grants[n] = bergamotlease.Grant{}
					_ = leases[n].Release(ctx) // the lease expires if this fails
				} else {
					grants[n], _ = leases[n].AcquireOrRenew(ctx)
				}
				if rapid.Bool().Draw(t, "late") {
					store.Deliver()
				}
				valid := 0
				for k, g := range grants {
					if !g.Valid(clocks[k].Now()) {
						continue
					}
					valid++
					if owner, ok := owners[g.FencingToken()]; ok && owner != k {
						t.Fatalf("fencing token %d of holder %d belongs to holder %d", g.FencingToken(), k, owner)
					}
					owners[g.FencingToken()] = k
				}
				if !suspended && valid > 1 {
					t.Fatalf("%d valid holders", valid)
				}
				d := time.Duration(rapid.IntRange(0, 5000).Draw(t, "advance")) * time.Millisecond
				tableTime.Advance(d)
				for k, c := range clocks {
					if !suspended || k != n {
						c.Advance(d)
					}
				}
			}
		})
	})
})
