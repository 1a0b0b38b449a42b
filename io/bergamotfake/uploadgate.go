package bergamotfake

import (
	"bytes"
	"context"
	"net"
	"sync"
)

// An UploadGate makes certain in which order a client meets the reset of a connection on which it still sends a request: its Write gets the
// reset, then the Read after the first bytes of the answer returns, then the Write. It orders none until Limit.
type UploadGate struct {
	Text string // in the first bytes of the requests whose connections the gate orders
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	once   sync.Once
	wanted chan struct{}

	mu   sync.Mutex
	left int // connections that are still to be ordered, negative for all
}

// maxGated is the number of connections that an UploadGate can order without AwaitRead.
const maxGated = 64

func (g *UploadGate) init() { g.once.Do(func() { g.wanted = make(chan struct{}, maxGated) }) }

// AwaitRead waits until a client has read the first bytes of an answer and wants more, or has closed the connection. The server then
// resets its side.
func (g *UploadGate) AwaitRead() {
	g.init()
	<-g.wanted
}

// Limit makes the gate order the connections of the next n requests only; a negative number is no limit.
func (g *UploadGate) Limit(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.left = n
}

// take reports whether another connection is to be ordered.
func (g *UploadGate) take() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.left > 0 {
		g.left--
		return true
	}
	return g.left < 0
}

// DialContext opens a connection with Dial.
func (g *UploadGate) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	g.init()
	c, err := g.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &gatedUpload{Conn: c, gate: g, failed: make(chan struct{}), read: make(chan struct{}), closed: make(chan struct{})}, nil
}

// gatedUpload is a connection of an UploadGate.
type gatedUpload struct {
	net.Conn
	gate   *UploadGate
	failed chan struct{} // closed when a Write has got an error
	read   chan struct{} // closed when the Read after that has returned
	closed chan struct{}
	want   sync.Once
	fail   sync.Once
	end    sync.Once

	mu       sync.Mutex
	written  bool // the first bytes of the request
	ordered  bool // the request has the text of the gate
	answered bool // the first bytes of the answer were read
	finished bool // read is closed
}

// Read reads the first bytes of the answer at once, and more after a Write has got an error.
func (c *gatedUpload) Read(p []byte) (n int, err error) {
	c.mu.Lock()
	waits := c.ordered && c.answered && !c.finished
	c.mu.Unlock()
	if waits {
		c.announce()
		select {
		case <-c.failed:
		case <-c.closed:
		}
	}
	n, err = c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered = c.answered || n > 0
	if waits && !c.finished {
		c.finished = true
		close(c.read)
	}
	return n, err
}

// Write writes, and returns an error after the next Read.
func (c *gatedUpload) Write(p []byte) (n int, err error) {
	c.mu.Lock()
	c.ordered = c.ordered || !c.written && bytes.Contains(p, []byte(c.gate.Text)) && c.gate.take()
	c.written = true
	ordered := c.ordered
	c.mu.Unlock()
	n, err = c.Conn.Write(p)
	if err != nil && ordered {
		c.fail.Do(func() { close(c.failed) })
		select {
		case <-c.read:
		case <-c.closed:
		}
	}
	return n, err
}

// announce lets one AwaitRead return, once for each connection that the gate orders.
func (c *gatedUpload) announce() {
	c.want.Do(func() { c.gate.wanted <- struct{}{} })
}

// Close closes the connection.
func (c *gatedUpload) Close() error {
	c.end.Do(func() { close(c.closed) })
	c.mu.Lock()
	ordered := c.ordered
	c.mu.Unlock()
	if ordered {
		c.announce()
	}
	return c.Conn.Close()
}
