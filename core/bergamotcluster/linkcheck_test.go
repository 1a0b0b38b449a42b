package bergamotcluster_test

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotmemory"
)

// ownLinks are links that are lost until some probes have succeeded.
type ownLinks struct {
	lost    bool
	missed  []string // addresses of runners that were not reached
	err     error    // of probes
	probed  []string
	results []bool
}

func (l *ownLinks) AreLost() bool { return l.lost }

func (l *ownLinks) DoubtfulAt() (time.Time, bool) { return time.Time{}, l.lost || len(l.missed) > 0 }

func (l *ownLinks) IsMissed(address string) bool { return slices.Contains(l.missed, address) }

func (l *ownLinks) Connected(string) { l.missed = nil }

func (l *ownLinks) Probed(connected bool) { l.results = append(l.results, connected) }

func (l *ownLinks) Probe(_ context.Context, address string) error {
	l.probed = append(l.probed, address)
	return l.err
}

var _ = ginkgo.Describe("an entry that loses its links to the runners", func() {
	// Guards against sound runners whose layers are placed anew because the holder of the lease cannot reach them.
	ginkgo.It("gives up the lease at once, places nothing, and seeks it again when the links work", func() {
		store := bergamotmemory.NewStore()
		one, two := newPlacement(store, "one"), newPlacement(store, "two")
		for range 5 {
			one.advance(600 * time.Millisecond)
			two.advance(600 * time.Millisecond)
		}
		gomega.Expect(one.state.View().HoldsPlacementLease()).To(gomega.BeTrue())
		ordered := len(one.runners.orders)
		one.links.lost = true
		for _, name := range []string{"w", "x", "y", "z"} {
			one.state.MarkFailed(name)
		}
		one.advance(10 * time.Millisecond)
		gomega.Expect(one.state.View().HoldsPlacementLease()).To(gomega.BeFalse())
		for range 3 {
			one.advance(600 * time.Millisecond)
			two.advance(600 * time.Millisecond)
		}
		gomega.Expect(two.state.View().HoldsPlacementLease()).To(gomega.BeTrue())
		gomega.Expect(one.runners.orders).To(gomega.HaveLen(ordered))
		gomega.Expect(one.leadership.Next(one.state)).To(gomega.BeTemporally(">", one.state.Now()), "it does not spin")

		one.links.lost, two.stopping = false, true
		two.advance(time.Second)
		one.advance(100 * time.Millisecond)
		gomega.Expect(one.state.View().HoldsPlacementLease()).To(gomega.BeTrue())
		one.advance(300 * time.Millisecond)
		gomega.Expect(one.runners.orders).To(gomega.HaveLen(ordered), "runners get time for a check before they count as dead")
	})

	// Guards against an entry that never notices that its links work again, and against probes without a pause or on calm days.
	ginkgo.It("probes runners one after the other until they are reached", func() {
		p := newPlacement(bergamotmemory.NewStore(), "one")
		p.advance(time.Second)
		gomega.Expect(p.links.probed).To(gomega.BeEmpty())
		p.links.lost, p.links.err = true, errors.New("no answer")
		for range 30 {
			p.advance(50 * time.Millisecond)
		}
		gomega.Expect(p.links.results).To(gomega.HaveLen(10))
		gomega.Expect(p.links.results).NotTo(gomega.ContainElement(true))
		p.links.err = nil
		p.advance(200 * time.Millisecond)
		gomega.Expect(p.links.results[10]).To(gomega.BeTrue())
	})

	// Guards against dead runners that look like lost links to an entry without requests, which connects to no other runner meanwhile.
	ginkgo.It("probes a runner that it has not missed while the links are in doubt", func() {
		p := newPlacement(bergamotmemory.NewStore(), "one")
		p.advance(time.Second)
		var rest string
		for n, i := range p.state.Fleet().Instances() {
			if n == 0 {
				rest = i.Address()
				continue
			}
			p.links.missed = append(p.links.missed, i.Address())
		}
		p.advance(10 * time.Millisecond)
		gomega.Expect(p.links.probed).To(gomega.Equal([]string{rest}))
		gomega.Expect(p.links.results).To(gomega.BeEmpty())
		p.advance(time.Second)
		gomega.Expect(p.links.probed).To(gomega.HaveLen(1), "the doubt has ended")
	})
})
