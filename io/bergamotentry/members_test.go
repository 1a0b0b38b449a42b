package bergamotentry_test

import (
	"context"
	"net/http"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotmember"
	"bergamotspur/io/bergamotfake"
	"bergamotspur/io/bergamotlist"
)

var _ = ginkgo.Describe("entries that know each other", func() {
	var m *mesh
	ginkgo.BeforeEach(func(ctx context.Context) {
		m = newMesh()
		m.roll(ctx, 1)
	})
	together := func(nodes ...*node) {
		for _, n := range nodes {
			eventually(n.live).Should(gomega.Equal(len(nodes)))
			eventually(n.version).Should(gomega.Equal(int64(1)))
		}
	}

	// Guards against an outage of the object store at one entry that keeps it at an old version, or a new one out of
	// service, although other entries have the text.
	ginkgo.It("get the bundle from each other while the object store is down", func(ctx context.Context) {
		nodes := m.start("a", "b")
		together(nodes...)
		b := nodes[1]
		b.objects.SetDown(true)
		m.roll(ctx, 2)
		eventually(b.version).Should(gomega.Equal(int64(2)))
		fresh := m.add("c")
		fresh.objects.SetSilent(true)
		launch(fresh.Entry)
		eventually(fresh.ready).Should(gomega.Equal(http.StatusOK))
		gomega.Expect(fresh.version()).To(gomega.Equal(int64(2)))
	})

	// Guards against reads of the table that hang at one entry and hold up the others, or that entry for longer.
	ginkgo.It("have a roll in force although reads hang at one of them", func(ctx context.Context) {
		nodes := m.start("a", "b", "c")
		together(nodes...)
		nodes[1].table.SetSilent(true)
		m.roll(ctx, 2)
		for _, n := range []*node{nodes[0], nodes[2]} {
			eventually(n.version).Should(gomega.Equal(int64(2)))
		}
		awaitFailedReads(nodes[1].Entry, 1)
		gomega.Expect(nodes[1].ready()).To(gomega.Equal(http.StatusOK))
		nodes[1].table.SetSilent(false)
		eventually(nodes[1].version).Should(gomega.Equal(int64(2)))
	})

	// Guards against new work for a target that one entry saw leave or die while the list still calls it live.
	ginkgo.It("give no new work to a target that one of them saw leave or die", func() {
		nodes := m.start("a", "b", "c")
		together(nodes...)
		dead := bergamotfake.NewEngine()
		gomega.Expect(dead.Start("127.0.0.1:0")).To(gomega.Succeed())
		ginkgo.DeferCleanup(dead.Kill)
		for _, n := range nodes {
			n.put(bergamotlist.InstanceMessage{Name: "till", Address: "127.0.0.1:1", Role: "ledger"})
			n.put(bergamotlist.InstanceMessage{Name: "runner", Address: dead.Address(), Role: "runner", MaxLayers: 1})
			eventually(n.usable).WithArguments("till").Should(gomega.BeTrue())
			eventually(n.usable).WithArguments("runner").Should(gomega.BeTrue())
		}
		nodes[0].put(bergamotlist.InstanceMessage{Name: "till", Address: "127.0.0.1:1", Role: "ledger", State: "leaving"})
		// Only this entry sees the runner at an address where nothing answers.
		nodes[0].put(bergamotlist.InstanceMessage{Name: "runner", Address: "127.0.0.1:1", Role: "runner", MaxLayers: 1})
		for _, n := range nodes {
			eventually(n.usable).WithArguments("till").Should(gomega.BeFalse())
		}
		// The others reach the runner, and their own probe lifts the mark within a probe period; the hint stays.
		for _, n := range nodes[1:] {
			eventually(n.told).WithArguments("runner").Should(gomega.Equal(bergamotmember.Dead))
		}
	})

	// Guards against an entry of another authority that learns or spreads anything.
	ginkgo.It("reject an entry without a valid certificate", func() {
		nodes := m.start("a", "b")
		together(nodes...)
		ca, err := bergamotfake.NewAuthority(ginkgo.GinkgoT().TempDir())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		stranger := m.addSigned("c", ca, nodes...)
		stranger.put(bergamotlist.InstanceMessage{Name: "till", Address: "127.0.0.1:1", Role: "ledger", State: "leaving"})
		for _, n := range nodes {
			n.put(bergamotlist.InstanceMessage{Name: "till", Address: "127.0.0.1:1", Role: "ledger"})
		}
		launch(stranger.Entry)
		for _, n := range []*node{nodes[0], nodes[1], stranger} {
			eventually(n.Metrics().Value).WithArguments("peer.handshake").Should(gomega.BeNumerically(">=", 2))
			gomega.Expect(n.live()).To(gomega.BeNumerically("<=", 2))
		}
		gomega.Expect(stranger.live()).To(gomega.Equal(1))
		gomega.Expect(nodes[0].usable("till")).To(gomega.BeTrue())
	})

	// Guards against a partition that never heals, that brings an older bundle back, or in which a new entry serves
	// with a bundle that may be old.
	ginkgo.It("heal after a partition without an older bundle", func(ctx context.Context) {
		nodes := m.start("a", "b", "c")
		together(nodes...)
		far := nodes[2]
		m.part(far, true)
		far.table.SetDown(true)
		far.objects.SetDown(true)
		m.roll(ctx, 2)
		eventually(nodes[0].version).Should(gomega.Equal(int64(2)))
		eventually(func() []int { return []int{nodes[0].live(), nodes[1].live(), far.live()} }).
			Should(gomega.Equal([]int{2, 2, 1}))
		// It knows nobody on the other side, so that it cannot be the link over which the partition heals.
		fresh := m.addSigned("d", m.ca, far)
		fresh.table.SetDown(true)
		launch(fresh.Entry)
		eventually(fresh.live).Should(gomega.Equal(2))
		awaitFailedReads(fresh.Entry, 3)
		gomega.Expect([]int{far.ready(), fresh.ready()}).To(gomega.Equal([]int{http.StatusOK, http.StatusServiceUnavailable}))
		gomega.Expect([]int64{far.version(), fresh.version()}).To(gomega.Equal([]int64{1, 0}))

		last := map[*node]int64{}
		settled := func() bool {
			done := true
			for _, n := range m.nodes {
				v := n.version()
				gomega.Expect(v).To(gomega.BeNumerically(">=", last[n]))
				last[n] = v
				done = done && v == 2 && n.live() == len(n.gates)+1
			}
			return done
		}
		gomega.Expect(settled()).To(gomega.BeFalse())
		far.table.SetDown(false)
		fresh.table.SetDown(false)
		m.part(far, false)
		eventually(settled).Should(gomega.BeTrue())
		eventually(fresh.ready).Should(gomega.Equal(http.StatusOK))
	})
})

// told returns the state in which others described a target.
func (n *node) told(target string) bergamotmember.State {
	return n.View().Members().TargetHints()[target].State()
}
