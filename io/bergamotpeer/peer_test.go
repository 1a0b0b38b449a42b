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

// authority signs certificates of peers.
type authority struct{ *bergamotfake.Authority }

func must[T any](v T, err error) T {
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return v
}

func newAuthority(dir string) *authority { return &authority{must(bergamotfake.NewAuthority(dir))} }

// config returns the configuration of a peer with keys from files.
func (a *authority) config(name string) *tls.Config {
	cert, key, err := a.Issue(name)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return must(bergamotpeer.Keys{Cert: cert, Key: key, CA: a.CA()}.Load())
}

// inbox answers each heartbeat as member "b" and counts events.
type inbox struct {
	mu     sync.Mutex
	peers  []string
	counts map[string]int
}

func (i *inbox) Heartbeat(_ context.Context, peer string, _ bergamotmember.Message) (bergamotmember.Message, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.peers = append(i.peers, peer)
	return message("b"), nil
}

func (i *inbox) Count(name string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.counts[name]++
}

func (i *inbox) count(name string) func() int {
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

// relay passes bytes between a client and a server until it is told to swallow those of the connections it has.
type relay struct {
	net.Listener
	mu    sync.Mutex
	conns []*swallower
}

type swallower struct {
	net.Conn
	mu   sync.Mutex
	deaf bool
}

func (s *swallower) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.deaf {
		return len(p), nil
	}
	return s.Conn.Write(p)
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
		a, b := &swallower{Conn: in}, &swallower{Conn: out}
		r.mu.Lock()
		r.conns = append(r.conns, a, b)
		r.mu.Unlock()
		go func() { _, _ = io.Copy(a, out); _ = in.Close() }()
		go func() { _, _ = io.Copy(b, in); _ = out.Close() }()
	}
}

func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		c.mu.Lock()
		c.deaf = true
		c.mu.Unlock()
	}
}

var _ = ginkgo.Describe("peers", func() {
	var (
		ctx     context.Context
		ca      *authority
		in      *inbox
		address string
	)
	ginkgo.BeforeEach(func() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(context.Background())
		ca, in = newAuthority(ginkgo.GinkgoT().TempDir()), &inbox{counts: map[string]int{}}
		l := must(net.Listen("tcp", "127.0.0.1:0"))
		address = l.Addr().String()
		s := &bergamotpeer.Server{Listener: l, TLS: ca.config("b"), Inbox: in, Counter: in}
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

	ginkgo.It("names the peer by its certificate", func() {
		reply := must(dial(ca.config("a"), time.Minute).Send(ctx, bergamotmember.NewPeer("b", address), message("forged")))
		gomega.Expect(reply.From()).To(gomega.Equal("b"))
		gomega.Expect(in.peers).To(gomega.Equal([]string{"a"}))
	})

	// Guards against a peer without a certificate of the right authority, and against a server of another name.
	ginkgo.It("refuses strangers on both sides", func() {
		_, err := dial(newAuthority(ginkgo.GinkgoT().TempDir()).config("a"), time.Minute).Send(ctx, bergamotmember.NewPeer("b", address), message("a"))
		gomega.Expect(err).To(gomega.HaveOccurred())
		_, err = dial(ca.config("a"), time.Minute).Send(ctx, bergamotmember.NewPeer("c", address), message("a"))
		gomega.Expect(err).To(gomega.HaveOccurred())
		bare := ca.config("a")
		bare.Certificates = nil
		_, err = dial(bare, time.Minute).Send(ctx, bergamotmember.NewPeer("b", address), message("a"))
		gomega.Expect(err).To(gomega.HaveOccurred())
		gomega.Expect(in.peers).To(gomega.BeEmpty())
	})

	// Guards against a middlebox that lost a connection's state, so that heartbeats vanish for ever.
	ginkgo.It("replaces a connection that went silent", func() {
		r := &relay{Listener: must(net.Listen("tcp", "127.0.0.1:0"))}
		go r.run(address)
		ginkgo.DeferCleanup(r.Close)
		c, to := dial(ca.config("a"), 2*time.Second), bergamotmember.NewPeer("b", r.Addr().String())
		must(c.Send(ctx, to, message("a")))
		r.silence()
		_, err := c.Send(ctx, to, message("a"))
		gomega.Expect(err).To(gomega.MatchError(context.DeadlineExceeded))
		must(c.Send(ctx, to, message("a")))
	})

	// Guards against a peer whose messages take the time of this entry, also when it connects again.
	ginkgo.It("takes a bounded rate from one peer that floods it", func() {
		c, to := dial(ca.config("a"), time.Minute), bergamotmember.NewPeer("b", address)
		begin, failed := time.Now(), 0
		for range 30 {
			if _, err := c.Send(ctx, to, message("a")); err != nil {
				failed++
			}
		}
		most := 20 + 4*time.Since(begin).Seconds() + 1
		gomega.Expect(failed).To(gomega.BeNumerically(">", 0))
		gomega.Expect(float64(len(in.peers))).To(gomega.BeNumerically("<=", most))
		gomega.Expect(in.count("peer.flood")()).To(gomega.BeNumerically(">", 0))
	})

	// Guards against many peers that each keep to their own rate.
	ginkgo.It("takes a bounded rate from all peers together", func() {
		to, begin := bergamotmember.NewPeer("b", address), time.Now()
		for _, name := range []string{"a", "c", "d"} {
			c := dial(ca.config(name), time.Minute)
			for range 15 {
				must(c.Send(ctx, to, message(name)))
			}
		}
		gomega.Expect(in.peers).To(gomega.HaveLen(45))
		gomega.Expect(45.0).To(gomega.BeNumerically("<=", 40+8*time.Since(begin).Seconds()+1))
	})
})
