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
	awaitAllLive := func(nodes ...*node) {
		for _, n := range nodes {
			eventually(n.liveEntries).Should(gomega.Equal(len(nodes)))
			eventually(n.bundleVersion).Should(gomega.Equal(int64(1)))
		}
	}

	// Guards against an outage of the object store that keeps an entry at an old version, or a new entry out of service,
	// although other entries have the bundle text.
	ginkgo.It("get the bundle from each other while the object store is down", func(ctx context.Context) {
		nodes := m.start("a", "b")
		awaitAllLive(nodes...)
		b := nodes[1]
		b.objects.SetDown(true)
		m.roll(ctx, 2)
		eventually(b.bundleVersion).Should(gomega.Equal(int64(2)))
		fresh := m.add("c")
		fresh.objects.SetSilent(true)
		runInBackground(fresh.Entry)
		eventually(fresh.readyStatus).Should(gomega.Equal(http.StatusOK))
		gomega.Expect(fresh.bundleVersion()).To(gomega.Equal(int64(2)))
	})

	// Guards against hanging reads of the table at one entry that delay the other entries, or that entry even after reads
	// work again.
	ginkgo.It("put a rolled-out bundle in force while table reads hang at one of them", func(ctx context.Context) {
		nodes := m.start("a", "b", "c")
		awaitAllLive(nodes...)
		nodes[1].table.SetSilent(true)
		m.roll(ctx, 2)
		for _, n := range []*node{nodes[0], nodes[2]} {
			eventually(n.bundleVersion).Should(gomega.Equal(int64(2)))
		}
		awaitFailedReads(nodes[1].Entry, 1)
		gomega.Expect(nodes[1].readyStatus()).To(gomega.Equal(http.StatusOK))
		nodes[1].table.SetSilent(false)
		eventually(nodes[1].bundleVersion).Should(gomega.Equal(int64(2)))
	})

	// Guards against new requests to a target that one entry saw leave or die while the instance list still calls it
	// live.
	ginkgo.It("send no new requests to a target that one of them saw leave or die", func() {
		nodes := m.start("a", "b", "c")
		awaitAllLive(nodes...)
		dead := bergamotfake.NewEngine()
		gomega.Expect(dead.Start("127.0.0.1:0")).To(gomega.Succeed())
		ginkgo.DeferCleanup(dead.Kill)
		for _, n := range nodes {
			n.put(bergamotlist.InstanceMessage{Name: "till", Address: "127.0.0.1:1", Role: "ledger"})
			n.put(bergamotlist.InstanceMessage{Name: "runner", Address: dead.Address(), Role: "runner", MaxLayers: 1})
			eventually(n.isUsable).WithArguments("till").Should(gomega.BeTrue())
			eventually(n.isUsable).WithArguments("runner").Should(gomega.BeTrue())
		}
		nodes[0].put(bergamotlist.InstanceMessage{Name: "till", Address: "127.0.0.1:1", Role: "ledger", State: "leaving"})
		// Only this entry sees the runner at an address where nothing answers.
		nodes[0].put(bergamotlist.InstanceMessage{Name: "runner", Address: "127.0.0.1:1", Role: "runner", MaxLayers: 1})
		for _, n := range nodes {
			eventually(n.isUsable).WithArguments("till").Should(gomega.BeFalse())
		}
		// The other entries reach the runner, so that their own probe clears its failed state within a probe period; the
		// hint stays.
		for _, n := range nodes[1:] {
			eventually(n.hintedState).WithArguments("runner").Should(gomega.Equal(bergamotmember.Dead))
		}
	})

	// Guards against an entry with a certificate of another authority that receives or spreads state.
	ginkgo.It("reject an entry without a valid certificate", func() {
		nodes := m.start("a", "b")
		awaitAllLive(nodes...)
		ca, err := bergamotfake.NewAuthority(ginkgo.GinkgoT().TempDir())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		stranger := m.addSigned("c", ca, nodes...)
		stranger.put(bergamotlist.InstanceMessage{Name: "till", Address: "127.0.0.1:1", Role: "ledger", State: "leaving"})
		for _, n := range nodes {
			n.put(bergamotlist.InstanceMessage{Name: "till", Address: "127.0.0.1:1", Role: "ledger"})
		}
		runInBackground(stranger.Entry)
		for _, n := range []*node{nodes[0], nodes[1], stranger} {
			eventually(n.Metrics().Value).WithArguments("peer.handshake").Should(gomega.BeNumerically(">=", 2))
			gomega.Expect(n.liveEntries()).To(gomega.BeNumerically("<=", 2))
		}
		gomega.Expect(stranger.liveEntries()).To(gomega.Equal(1))
		gomega.Expect(nodes[0].isUsable("till")).To(gomega.BeTrue())
	})

	// Guards against three faults of a partition: it never heals, it brings an older bundle back, or a new entry serves
	// in it with a bundle that may be out of date.
	ginkgo.It("heal after a partition without returning to an older bundle", func(ctx context.Context) {
		nodes := m.start("a", "b", "c")
		awaitAllLive(nodes...)
		far := nodes[2]
		m.setPartitioned(far, true)
		far.table.SetDown(true)
		far.objects.SetDown(true)
		m.roll(ctx, 2)
		eventually(nodes[0].bundleVersion).Should(gomega.Equal(int64(2)))
		eventually(func() []int { return []int{nodes[0].liveEntries(), nodes[1].liveEntries(), far.liveEntries()} }).
			Should(gomega.Equal([]int{2, 2, 1}))
		// The new entry knows no address on the other side, so that the partition cannot heal through it.
		fresh := m.addSigned("d", m.ca, far)
		fresh.table.SetDown(true)
		runInBackground(fresh.Entry)
		eventually(fresh.liveEntries).Should(gomega.Equal(2))
		awaitFailedReads(fresh.Entry, 3)
		gomega.Expect([]int{far.readyStatus(), fresh.readyStatus()}).To(gomega.Equal([]int{http.StatusOK, http.StatusServiceUnavailable}))
		gomega.Expect([]int64{far.bundleVersion(), fresh.bundleVersion()}).To(gomega.Equal([]int64{1, 0}))

		last := map[*node]int64{}
		isConverged := func() bool {
			done := true
			for _, n := range m.nodes {
				v := n.bundleVersion()
				gomega.Expect(v).To(gomega.BeNumerically(">=", last[n]))
				last[n] = v
				done = done && v == 2 && n.liveEntries() == len(n.links)+1
			}
			return done
		}
		gomega.Expect(isConverged()).To(gomega.BeFalse())
		far.table.SetDown(false)
		fresh.table.SetDown(false)
		m.setPartitioned(far, false)
		eventually(isConverged).Should(gomega.BeTrue())
		eventually(fresh.readyStatus).Should(gomega.Equal(http.StatusOK))
	})
})

// hintedState returns the state of a target according to the hints of other entries.
func (n *node) hintedState(target string) bergamotmember.State {
	return n.View().Members().TargetHints()[target].State()
}
