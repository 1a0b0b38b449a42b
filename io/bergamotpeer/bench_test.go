package bergamotpeer_test

import (
	"crypto/tls"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotmember"
	"bergamotspur/io/bergamotpeer"
)

// countingConn counts the bytes that are read and written.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// cpuTime returns the CPU time that the process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkHandshake measures the bytes of a new connection and the CPU time of both sides.
func BenchmarkHandshake(b *testing.B) {
	gomega.RegisterTestingT(b)
	ca := newAuthority(b.TempDir())
	server, client := ca.tlsConfig("b"), ca.tlsConfig("a")
	client.ServerName = "b"
	l := must(net.Listen("tcp", "127.0.0.1:0"))
	defer func() { _ = l.Close() }()
	go func() {
		for {
			raw, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = tls.Server(raw, server).Read(make([]byte, 1)) }()
		}
	}()
	var bytes atomic.Int64
	start := cpuTime()
	for b.Loop() {
		raw := must(net.Dial("tcp", l.Addr().String()))
		c := tls.Client(countingConn{raw, &bytes}, client)
		gomega.Expect(c.Handshake()).To(gomega.Succeed())
		_ = c.Close()
	}
	b.ReportMetric(float64(cpuTime()-start)/float64(b.N), "cpu-ns/op")
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "B/handshake")
}

// BenchmarkExchange measures the CPU time of both sides of a heartbeat with all fields set over loopback.
func BenchmarkExchange(b *testing.B) {
	gomega.RegisterTestingT(b)
	ca := newAuthority(b.TempDir())
	var clients []*bergamotpeer.Client
	var servers []string
	in := &fakeInbox{counts: map[string]int{}}
	l := must(net.Listen("tcp", "127.0.0.1:0"))
	s := &bergamotpeer.Server{Listener: l, TLS: ca.tlsConfig("b"), Inbox: in, Counter: in}
	done := make(chan error, 1)
	go func() { done <- s.Run(b.Context()) }()
	// The rate limits allow a burst of 20 heartbeats for each peer and of 40 for all peers.
	for _, name := range []string{"a", "c", "d", "e", "f", "g"} {
		clients = append(clients, &bergamotpeer.Client{TLS: ca.tlsConfig(name), Timeout: time.Minute})
		servers = append(servers, l.Addr().String())
	}
	for n, c := range clients {
		must(c.Send(b.Context(), bergamotmember.NewPeer("b", servers[n]), sampleMessage()))
	}
	start := cpuTime()
	for n := range 30 {
		must(clients[n%6].Send(b.Context(), bergamotmember.NewPeer("b", servers[n%6]), sampleMessage()))
	}
	b.ReportMetric(float64(cpuTime()-start)/30, "cpu-ns/exchange")
	for _, c := range clients {
		c.Close()
	}
	gomega.Expect(l.Close()).To(gomega.Succeed())
	<-done
}
