package bergamotmember_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bergamotspur/core/bergamotmember"
	"bergamotspur/core/bergamottest"
)

func newPair() (a, b *bergamotmember.Node, now time.Time) {
	peers := []bergamotmember.Peer{bergamotmember.NewPeer("a", "10.0.0.1:7"), bergamotmember.NewPeer("b", "10.0.0.2:7")}
	a = bergamotmember.NewNode(peers[0], 1, rand.New(rand.NewPCG(1, 1)))
	b = bergamotmember.NewNode(peers[1], 1, rand.New(rand.NewPCG(2, 2)))
	a.SetPeers(peers)
	b.SetPeers(peers)
	return a, b, time.Unix(1000, 0)
}

var _ = ginkgo.Describe("Node", func() {
	// Guards against a sender that claims another name than it is authenticated as, and against records about unknown
	// members.
	ginkgo.It("rejects and counts unknown peers, false sender names and records of unknown members", func() {
		a, _, now := newPair()
		stranger, _ := bergamotmember.NewMessage(bergamotmember.MessageSpec{From: "x", Incarnation: 1})
		_, err := a.Receive(now, "x", stranger)
		gomega.Expect(err).To(gomega.MatchError(bergamotmember.ErrUnknownPeer))
		_, err = a.Receive(now, "b", stranger)
		gomega.Expect(err).To(gomega.MatchError(bergamotmember.ErrInvalid))
		r, ok := bergamotmember.NewRecord(bergamotmember.RecordSpec{Kind: bergamotmember.KindMember, Key: "x", Version: 1})
		gomega.Expect(ok).To(gomega.BeTrue())
		m, _ := bergamotmember.NewMessage(bergamotmember.MessageSpec{From: "b", Incarnation: 1, Records: []bergamotmember.Record{r}})
		_, err = a.Receive(now, "b", m)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(a.Rejected()).To(gomega.Equal(map[string]int64{"peer": 1, "message": 1, "record": 1}))
		gomega.Expect(a.Snapshot(now).LiveCount()).To(gomega.Equal(2))
	})

	// Guards against a peer that exhausts the memory with hints.
	ginkgo.It("keeps a limited number of records when a peer floods it", func() {
		a, _, now := newPair()
		for n := range 600 {
			var list []bergamotmember.Record
			for k := range 10 {
				r, _ := bergamotmember.NewRecord(bergamotmember.RecordSpec{
					Kind: bergamotmember.KindCrash, Key: fmt.Sprint(n*10 + k), Version: 1, TTL: time.Hour, Data: make([]byte, 128),
				})
				list = append(list, r)
			}
			m, _ := bergamotmember.NewMessage(bergamotmember.MessageSpec{From: "b", Incarnation: 1, Records: list})
			_, err := a.Receive(now, "b", m)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
		}
		gomega.Expect(a.Snapshot(now).Crashes()).To(gomega.HaveLen(256))
		gomega.Expect(a.Rejected()["full"]).To(gomega.Equal(int64(6000 - 256)))
	})

	// Each case violates one rule for valid records.
	bergamottest.Cases(map[string]bergamotmember.RecordSpec{
		"rejects a record with too long a TTL": {Kind: bergamotmember.KindCrash, Key: "k", Version: 1, TTL: 2 * time.Hour},
		"rejects a record without a TTL":       {Kind: bergamotmember.KindTarget, Key: "k", Version: 1, State: bergamotmember.Dead},
		"rejects a record without a key":       {Kind: bergamotmember.KindMember, Version: 1},
		"rejects a record of an unknown kind":  {Kind: 9, Key: "k", Version: 1, TTL: time.Second},
		"rejects a record with too much data": {
			Kind: bergamotmember.KindCrash, Key: "k", Version: 1, TTL: time.Second, Data: make([]byte, 129),
		},
		"rejects a target record with the state alive": {Kind: bergamotmember.KindTarget, Key: "k", Version: 1, TTL: time.Second},
	}, func(s bergamotmember.RecordSpec) {
		_, ok := bergamotmember.NewRecord(s)
		gomega.Expect(ok).To(gomega.BeFalse())
	})

	// Guards against an expired hint that a slower peer sends again.
	ginkgo.It("does not accept an expired hint again", func() {
		a, _, now := newPair()
		r, _ := bergamotmember.NewRecord(bergamotmember.RecordSpec{
			Kind: bergamotmember.KindTarget, Key: "t", Version: 1, State: bergamotmember.Dead, TTL: 5 * time.Second,
		})
		m, _ := bergamotmember.NewMessage(bergamotmember.MessageSpec{From: "b", Incarnation: 1, Records: []bergamotmember.Record{r}})
		for _, after := range []time.Duration{0, 6 * time.Second} {
			a.Tick(now.Add(after))
			_, err := a.Receive(now.Add(after), "b", m)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			_, ok := a.Snapshot(now.Add(after)).TargetHint("t")
			gomega.Expect(ok).To(gomega.Equal(after == 0))
		}
	})
})

// hasLiveCount returns a condition for waitUntil: the member counts that many live entries.
func hasLiveCount(count int) func(c *cluster) func(n *bergamotmember.Node) bool {
	return func(c *cluster) func(n *bergamotmember.Node) bool {
		return func(n *bergamotmember.Node) bool { return n.Snapshot(c.now).LiveCount() == count }
	}
}

var _ = ginkgo.Describe("cluster", func() {
	expectLiveCount := func(c *cluster, maxWait time.Duration, count int) {
		_, ok := c.waitUntil(maxWait, hasLiveCount(count)(c))
		gomega.Expect(ok).To(gomega.BeTrue())
	}

	// Guards against a dead member that still counts as live, and a restarted one that still counts as dead.
	ginkgo.It("detects a dead member and accepts its restart with a lower incarnation", func() {
		c := newCluster(1, 12)
		expectLiveCount(c, 20*time.Second, 12)
		dead := c.peers[3]
		delete(c.nodes, dead.Name())
		expectLiveCount(c, 20*time.Second, 11)
		c.start(dead, 1)
		expectLiveCount(c, 30*time.Second, 12)
		gomega.Expect(c.node(3).Incarnation()).To(gomega.BeNumerically(">", 1))
	})

	ginkgo.It("reports a member that left as left", func() {
		c := newCluster(2, 8)
		expectLiveCount(c, 20*time.Second, 8)
		c.node(0).Leave(c.now)
		expectLiveCount(c, 7*time.Second, 7)
		s, _ := c.node(5).Snapshot(c.now).State(c.name(0))
		gomega.Expect(s).To(gomega.Equal(bergamotmember.Left))
	})

	// Guards against a partition that does not heal without an operator, and against old hints that come back.
	ginkgo.It("heals a partition of an hour between two regions", func() {
		c := newCluster(3, 12)
		expectLiveCount(c, 20*time.Second, 12)
		c.node(0).ReportTarget(c.now, "old", bergamotmember.Dead)
		c.isConnected = func(from, to string) bool { return c.isInFirstRegion(from, 6) == c.isInFirstRegion(to, 6) }
		c.run(30 * time.Second)
		expectLiveCount(c, 30*time.Second, 6)
		c.node(0).SetHead(bergamotmember.NewHead(7, "new"))
		c.node(11).SetHead(bergamotmember.NewHead(6, "old"))
		c.run(time.Hour)
		gomega.Expect(c.node(11).Head().Version()).To(gomega.Equal(int64(6)))
		c.isConnected = func(string, string) bool { return true }
		expectLiveCount(c, 30*time.Second, 12)
		_, ok := c.waitUntil(7*time.Second, func(n *bergamotmember.Node) bool { return n.Head().Version() == 7 })
		gomega.Expect(ok).To(gomega.BeTrue())
		for _, n := range c.nodes {
			_, ok := n.Snapshot(c.now).TargetHint("old")
			gomega.Expect(ok).To(gomega.BeFalse())
		}
	})

	// Checks that all members agree after random restarts, partitions and changes, and that the version of a known head
	// never decreases.
	ginkgo.It("converges after random faults without a decrease of a head version", func() {
		rapid.Check(ginkgo.GinkgoTB(), func(t *rapid.T) {
			c := newCluster(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 7).Draw(t, "count"))
			heads := map[*bergamotmember.Node]int64{}
			seen := map[*bergamotmember.Node]map[string]int64{}
			watch := func(d time.Duration) {
				for end := c.now.Add(d); c.now.Before(end); c.step() {
					for _, n := range c.nodes {
						if v := n.Head().Version(); v < heads[n] {
							t.Fatalf("head version decreased from %d to %d", heads[n], v)
						}
						heads[n] = n.Head().Version()
						if seen[n] == nil {
							seen[n] = map[string]int64{}
						}
						for _, p := range c.peers {
							h, _ := n.Snapshot(c.now).MemberHead(p.Name())
							if h.Version() < seen[n][p.Name()] {
								t.Fatalf("head version of %s decreased", p.Name())
							}
							seen[n][p.Name()] = h.Version()
						}
					}
				}
			}
			var version int64
			for range rapid.IntRange(1, 5).Draw(t, "faults") {
				k := rapid.IntRange(0, len(c.peers)-1).Draw(t, "member")
				switch rapid.IntRange(0, 3).Draw(t, "fault") {
				case 0:
					c.isConnected = func(from, to string) bool { return c.isInFirstRegion(from, k) == c.isInFirstRegion(to, k) }
				case 1:
					c.isConnected = func(string, string) bool { return true }
				case 2:
					c.start(c.peers[k], 1)
				default:
					version++
					c.node(k).SetHead(bergamotmember.NewHead(version, ""))
				}
				watch(time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second)
			}
			c.isConnected = func(string, string) bool { return true }
			version++
			c.node(0).SetHead(bergamotmember.NewHead(version, ""))
			watch(90 * time.Second)
			for _, n := range c.nodes {
				if n.Snapshot(c.now).LiveCount() != len(c.peers) || n.Head().Version() != version {
					t.Fatalf("%d live, head %d", n.Snapshot(c.now).LiveCount(), n.Head().Version())
				}
			}
		})
	})
})
