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

// liar is an entry with a valid certificate that claims a head.
type liar struct {
	head bergamotmember.Head

	mu    sync.Mutex
	asked int
}

func (l *liar) Heartbeat(context.Context, string, bergamotmember.Message) (bergamotmember.Message, error) {
	m, _ := bergamotmember.NewMessage(bergamotmember.MessageSpec{From: "liar", Incarnation: 1, Head: l.head})
	return m, nil
}

func (l *liar) Text(string) ([]byte, error) {
	l.mu.Lock()
	l.asked++
	l.mu.Unlock()
	return []byte("[bundle]\nversion = 2\n"), nil
}

func (l *liar) Count(string) {}

func (l *liar) calls() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.asked
}

// join runs the liar and puts it on the list of n.
func (m *mesh) join(l *liar, n *node) {
	cert, key, err := m.ca.Issue("liar")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	cfg, err := bergamotpeer.Keys{Cert: cert, Key: key, CA: m.ca.CA()}.Load()
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
	type lie struct {
		digest string // of the head that the liar claims, empty for the one in the table
	}
	// Guards against one faulty entry that keeps others from a text which an honest entry has.
	bergamottest.Cases(map[string]lie{
		"gets the text although a peer gives another":                     {},
		"gets the text although a peer claims a head that does not exist": {digest: strings.Repeat("0f", 32)},
	}, func(c lie) {
		ctx := context.Background()
		m := newMesh()
		m.roll(ctx, 1)
		b := m.start("b")[0]
		eventually(b.version).Should(gomega.Equal(int64(1)))
		b.objects.SetDown(true)
		m.roll(ctx, 2)
		h, _, err := m.rollout.Head(ctx)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		l := &liar{head: bergamotmember.NewHead(2, h.Digest())}
		if c.digest != "" {
			l.head = bergamotmember.NewHead(99, c.digest)
		}
		m.join(l, b)
		eventually(func() bool { return l.calls() > 0 && b.View().Members().Head() == l.head }).Should(gomega.BeTrue())
		gomega.Expect(b.version()).To(gomega.Equal(int64(1)))
		m.start("a")
		eventually(b.version).Should(gomega.Equal(int64(2)))
		gomega.Expect(b.Metrics().Value("texts.peer")).To(gomega.BeNumerically(">", 0))
	})
})

// answers is what peers give, nil for no answer before the context ends.
type answers map[string][]byte

func (a answers) Fetch(ctx context.Context, from bergamotmember.Peer, _ string) ([]byte, error) {
	if a[from.Name()] == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return a[from.Name()], nil
}

var _ = ginkgo.Describe("one fetch of a text", func() {
	// Guards against a peer that uses up the time or the attempt in which another peer would have given the text.
	bergamottest.Cases(map[string]answers{
		"passes over a peer that does not answer":  {"a": nil},
		"passes over two that do not answer":       {"a": nil, "b": nil},
		"passes over a peer that gives other text": {"a": []byte("x")},
		"passes over all faulty peers":             {"a": []byte("x"), "b": nil, "c": []byte("y"), "d": nil},
	}, func(a answers) {
		text := []byte("[bundle]\nversion = 1\n")
		var peers []bergamotmember.Peer
		for _, name := range slices.Sorted(maps.Keys(a)) {
			peers = append(peers, bergamotmember.NewPeer(name, ""))
		}
		a["honest"] = text
		peers = append(peers, bergamotmember.NewPeer("honest", ""))
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		got, err := bergamotentry.FetchText(ctx, a, peers, bergamotrollout.ObjectName(bergamotbundle.Digest(text)), func(string) {})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(got).To(gomega.Equal(text))
	})
})
