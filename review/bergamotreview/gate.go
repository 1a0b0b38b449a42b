package main

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// gate is a network path that can be cut: while it is, connections open and stay open, but their bytes wait.
type gate struct {
	mu   sync.Mutex
	open chan struct{} // closed while the path works
}

func newGate() *gate {
	g := &gate{open: make(chan struct{})}
	close(g.open)
	return g
}

func (g *gate) cut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = make(chan struct{})
}

func (g *gate) heal() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.open)
}

// wait returns as soon as the path works.
func (g *gate) wait() {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	<-open
}

// listen serves h behind the gate and returns the address.
func (g *gate) listen(b *bench, h http.Handler) (string, *http.Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(gatedListener{l, g}) }() // it ends when the case does
	b.onClose(func() { _ = s.Close() })
	return l.Addr().String(), s, nil
}

type gatedListener struct {
	net.Listener
	gate *gate
}

// Accept returns the next connection.
func (l gatedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return gatedConn{c, l.gate}, nil
}

type gatedConn struct {
	net.Conn
	gate *gate
}

// Read reads what has arrived before a cut or after it.
func (c gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.gate.wait()
	return n, err
}

// Write sends data once the path works.
func (c gatedConn) Write(p []byte) (int, error) {
	c.gate.wait()
	return c.Conn.Write(p)
}
