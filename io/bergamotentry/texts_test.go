package bergamotentry_test

import (
	"context"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotmember"
	"bergamotspur/core/bergamotrollout"
	"bergamotspur/core/bergamottest"
	"bergamotspur/io/bergamotentry"
	"bergamotspur/io/bergamotlist"
	"bergamotspur/io/bergamotpeer"
)

// faultyPeer is an entry with a valid certificate that announces a false head or serves a wrong text.
type faultyPeer struct {
	head bergamotmember.Head

	mu       sync.Mutex
	requests int
}

func (l *faultyPeer) Heartbeat(context.Context, string, bergamotmember.Message) (bergamotmember.Message, error) {
	m, _ := bergamotmember.NewMessage(bergamotmember.MessageSpec{From: "liar", Incarnation: 1, Head: l.head})
	return m, nil
}

func (l *faultyPeer) Text(string) ([]byte, error) {
	l.mu.Lock()
	l.requests++
	l.mu.Unlock()
	return []byte("[bundle]\nversion = 2\n"), nil
}

func (l *faultyPeer) Count(string) {}

func (l *faultyPeer) textRequests() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.requests
}

// addFaultyPeer runs a faulty peer and puts it on the instance list of n.
func (m *mesh) addFaultyPeer(l *faultyPeer, n *node) {
	cert, key, err := m.ca.Issue("liar")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	cfg, err := bergamotpeer.KeyFiles{Cert: cert, Key: key, CA: m.ca.CA()}.Load()
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	server := &bergamotpeer.Server{Listener: listener, TLS: cfg, Inbox: l, Texts: l, Counter: l}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx) }()
	ginkgo.DeferCleanup(func() {
		cancel()
		gomega.Expect(<-done).To(gomega.Succeed())
	})
	n.put(bergamotlist.InstanceMessage{Name: "liar", Address: listener.Addr().String(), Role: "entry"})
}

var _ = ginkgo.Describe("an entry whose object store is down", func() {
	type faultCase struct {
		digest string // of the head that the faulty peer announces, empty for the one in the table
	}
	// Guards against one faulty entry that keeps others from fetching a text that a correct entry has.
	bergamottest.Cases(map[string]faultCase{
		"gets the text although a peer returns a wrong one":                  {},
		"gets the text although a peer announces a head that does not exist": {digest: strings.Repeat("0f", 32)},
	}, func(c faultCase) {
		ctx := context.Background()
		m := newMesh()
		m.roll(ctx, 1)
		b := m.start("b")[0]
		eventually(b.bundleVersion).Should(gomega.Equal(int64(1)))
		b.objects.SetDown(true)
		m.roll(ctx, 2)
		h, _, err := m.rollout.Head(ctx)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		l := &faultyPeer{head: bergamotmember.NewHead(2, h.Digest())}
		if c.digest != "" {
			l.head = bergamotmember.NewHead(99, c.digest)
		}
		m.addFaultyPeer(l, b)
		eventually(func() bool { return l.textRequests() > 0 && b.View().Members().Head() == l.head }).Should(gomega.BeTrue())
		gomega.Expect(b.bundleVersion()).To(gomega.Equal(int64(1)))
		m.start("a")
		eventually(b.bundleVersion).Should(gomega.Equal(int64(2)))
		gomega.Expect(b.Metrics().Value("texts.peer")).To(gomega.BeNumerically(">", 0))
	})
})

// peerAnswers are the texts that peers return by name, nil for no answer before the context ends.
type peerAnswers map[string][]byte

func (a peerAnswers) Fetch(ctx context.Context, from bergamotmember.Peer, _ string) ([]byte, error) {
	if a[from.Name()] == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return a[from.Name()], nil
}

var _ = ginkgo.Describe("a fetch of a bundle text", func() {
	// Guards against a faulty peer that uses up the time, or counts as the only attempt, although another peer has the
	// text.
	bergamottest.Cases(map[string]peerAnswers{
		"skips a peer that does not answer":      {"a": nil},
		"skips two peers that do not answer":     {"a": nil, "b": nil},
		"skips a peer that returns a wrong text": {"a": []byte("x")},
		"skips all faulty peers":                 {"a": []byte("x"), "b": nil, "c": []byte("y"), "d": nil},
	}, func(a peerAnswers) {
		text := []byte("[bundle]\nversion = 1\n")
		var peers []bergamotmember.Peer
		for _, name := range slices.Sorted(maps.Keys(a)) {
			peers = append(peers, bergamotmember.NewPeer(name, ""))
		}
		a["honest"] = text
		peers = append(peers, bergamotmember.NewPeer("honest", ""))
		ctx, cancel := context.WithTimeout(context.Background(), maxWait)
		defer cancel()
		got, err := bergamotentry.FetchText(ctx, a, peers, bergamotrollout.ObjectName(bergamotbundle.Digest(text)), func(string) {})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(got).To(gomega.Equal(text))
	})
})
