package bergamotpeer_test

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotmember"
	"bergamotspur/io/bergamotfake"
	"bergamotspur/io/bergamotpeer"
)

// authority issues the certificates of peers.
type authority struct{ *bergamotfake.Authority }

func must[T any](v T, err error) T {
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return v
}

func newAuthority(dir string) *authority { return &authority{must(bergamotfake.NewAuthority(dir))} }

// tlsConfig returns the TLS configuration of the peer called name, loaded from files.
func (a *authority) tlsConfig(name string) *tls.Config {
	cert, key, err := a.Issue(name)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return must(bergamotpeer.KeyFiles{Cert: cert, Key: key, CA: a.CA()}.Load())
}

// fakeInbox answers each heartbeat as member "b", records the senders and counts events.
type fakeInbox struct {
	mu     sync.Mutex
	peers  []string
	counts map[string]int
}

func (i *fakeInbox) Heartbeat(_ context.Context, peer string, _ bergamotmember.Message) (bergamotmember.Message, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.peers = append(i.peers, peer)
	return message("b"), nil
}

func (i *fakeInbox) Count(name string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.counts[name]++
}

func (i *fakeInbox) count(name string) func() int {
	return func() int {
		i.mu.Lock()
		defer i.mu.Unlock()
		return i.counts[name]
	}
}

func message(from string) bergamotmember.Message {
	m, _ := bergamotmember.NewMessage(bergamotmember.MessageSpec{From: from, Incarnation: 1})
	return m
}

// relay forwards bytes between clients and a server; discardTraffic makes its open connections discard them silently.
type relay struct {
	net.Listener
	mu    sync.Mutex
	conns []*relayConn
}

// relayConn is one side of a relayed connection.
type relayConn struct {
	net.Conn
	mu       sync.Mutex
	discards bool
}

func (c *relayConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.discards {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (r *relay) run(target string) {
	for {
		in, err := r.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", target)
		if err != nil {
			return
		}
		a, b := &relayConn{Conn: in}, &relayConn{Conn: out}
		r.mu.Lock()
		r.conns = append(r.conns, a, b)
		r.mu.Unlock()
		go func() { _, _ = io.Copy(a, out); _ = in.Close() }()
		go func() { _, _ = io.Copy(b, in); _ = out.Close() }()
	}
}

// discardTraffic discards all further bytes of the open connections; new connections work.
func (r *relay) discardTraffic() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		c.mu.Lock()
		c.discards = true
		c.mu.Unlock()
	}
}

var _ = ginkgo.Describe("peers", func() {
	var (
		ctx     context.Context
		ca      *authority
		in      *fakeInbox
		address string
	)
	ginkgo.BeforeEach(func() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(context.Background())
		ca, in = newAuthority(ginkgo.GinkgoT().TempDir()), &fakeInbox{counts: map[string]int{}}
		l := must(net.Listen("tcp", "127.0.0.1:0"))
		address = l.Addr().String()
		s := &bergamotpeer.Server{Listener: l, TLS: ca.tlsConfig("b"), Inbox: in, Counter: in}
		done := make(chan error, 1)
		go func() { done <- s.Run(ctx) }()
		ginkgo.DeferCleanup(func() {
			cancel()
			gomega.Expect(<-done).To(gomega.Succeed())
		})
	})
	dial := func(cfg *tls.Config, timeout time.Duration) *bergamotpeer.Client {
		c := &bergamotpeer.Client{TLS: cfg, Timeout: timeout}
		ginkgo.DeferCleanup(c.Close)
		return c
	}

	// Guards against a peer that takes the name of another in its message.
	ginkgo.It("identifies the peer by its certificate", func() {
		reply := must(dial(ca.tlsConfig("a"), time.Minute).Send(ctx, bergamotmember.NewPeer("b", address), message("forged")))
		gomega.Expect(reply.From()).To(gomega.Equal("b"))
		gomega.Expect(in.peers).To(gomega.Equal([]string{"a"}))
	})

	// Guards against a client without a certificate of the right authority and a server with the name of another peer.
	ginkgo.It("rejects clients and servers that it cannot authenticate", func() {
		_, err := dial(newAuthority(ginkgo.GinkgoT().TempDir()).tlsConfig("a"), time.Minute).Send(ctx, bergamotmember.NewPeer("b", address), message("a"))
		gomega.Expect(err).To(gomega.HaveOccurred())
		_, err = dial(ca.tlsConfig("a"), time.Minute).Send(ctx, bergamotmember.NewPeer("c", address), message("a"))
		gomega.Expect(err).To(gomega.HaveOccurred())
		noCert := ca.tlsConfig("a")
		noCert.Certificates = nil
		_, err = dial(noCert, time.Minute).Send(ctx, bergamotmember.NewPeer("b", address), message("a"))
		gomega.Expect(err).To(gomega.HaveOccurred())
		gomega.Expect(in.peers).To(gomega.BeEmpty())
	})

	// Guards against a middlebox that loses the state of a connection and then drops all its packets.
	ginkgo.It("replaces a connection that gets no replies", func() {
		r := &relay{Listener: must(net.Listen("tcp", "127.0.0.1:0"))}
		go r.run(address)
		ginkgo.DeferCleanup(r.Close)
		c, to := dial(ca.tlsConfig("a"), 2*time.Second), bergamotmember.NewPeer("b", r.Addr().String())
		must(c.Send(ctx, to, message("a")))
		r.discardTraffic()
		_, err := c.Send(ctx, to, message("a"))
		gomega.Expect(err).To(gomega.MatchError(context.DeadlineExceeded))
		must(c.Send(ctx, to, message("a")))
	})

	// Guards against a peer that floods this entry with heartbeats and reconnects to reset its rate limit.
	ginkgo.It("limits the rate of each peer", func() {
		c, to := dial(ca.tlsConfig("a"), time.Minute), bergamotmember.NewPeer("b", address)
		start, failed := time.Now(), 0
		for range 30 {
			if _, err := c.Send(ctx, to, message("a")); err != nil {
				failed++
			}
		}
		maxAccepted := 20 + 4*time.Since(start).Seconds() + 1
		gomega.Expect(failed).To(gomega.BeNumerically(">", 0))
		gomega.Expect(float64(len(in.peers))).To(gomega.BeNumerically("<=", maxAccepted))
		gomega.Expect(in.count("peer.flood")()).To(gomega.BeNumerically(">", 0))
	})

	// Guards against many peers that each stay below their own rate limit.
	ginkgo.It("limits the total rate of all peers", func() {
		to, start := bergamotmember.NewPeer("b", address), time.Now()
		for _, name := range []string{"a", "c", "d"} {
			c := dial(ca.tlsConfig(name), time.Minute)
			for range 15 {
				must(c.Send(ctx, to, message(name)))
			}
		}
		gomega.Expect(in.peers).To(gomega.HaveLen(45))
		gomega.Expect(45.0).To(gomega.BeNumerically("<=", 40+8*time.Since(start).Seconds()+1))
	})
})
