package bergamotfake

import (
	"errors"
	"net"
	"os"
	"sync"
)

// pauses holds back what the connections of a server read and write while the server is paused.
type pauses struct {
	mu       sync.Mutex
	resumed  chan struct{} // closed at the end of the pause, nil without one
	accepted int           // connections since the server began
}

// set begins or ends a pause.
func (p *pauses) set(paused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case paused && p.resumed == nil:
		p.resumed = make(chan struct{})
	case !paused && p.resumed != nil:
		close(p.resumed)
		p.resumed = nil
	}
}

// wait returns at the end of the pause, or when closed is closed.
func (p *pauses) wait(closed <-chan struct{}) {
	p.mu.Lock()
	resumed := p.resumed
	p.mu.Unlock()
	if resumed == nil {
		return
	}
	select {
	case <-resumed:
	case <-closed:
	}
}

// accept counts a connection.
func (p *pauses) accept() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.accepted++
}

func (p *pauses) acceptedConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.accepted
}

// pauseListener is a listener whose connections can be paused.
type pauseListener struct {
	net.Listener
	pauses *pauses
}

// Accept accepts connections also in a pause, as the kernel does for a process that stands still.
func (l *pauseListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.pauses.accept()
	return &pauseConn{Conn: c, pauses: l.pauses, closed: make(chan struct{})}, nil
}

// pauseConn is a connection that delivers and sends nothing in a pause.
type pauseConn struct {
	net.Conn
	pauses *pauses
	closed chan struct{}
	once   sync.Once
}

// Read reads, and returns what has arrived once there is no pause. A read that the server itself ends returns at once, since the
// server waits for it before it closes the connection.
func (c *pauseConn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	c.pauses.wait(c.closed)
	return n, err
}

// Write writes once there is no pause.
func (c *pauseConn) Write(p []byte) (n int, err error) {
	c.pauses.wait(c.closed)
	return c.Conn.Write(p)
}

// CloseWrite ends writing.
func (c *pauseConn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// SetLinger sets how the connection ends when it is closed, as net.TCPConn does.
func (c *pauseConn) SetLinger(sec int) error {
	return c.Conn.(*net.TCPConn).SetLinger(sec)
}

// Close closes the connection, also in a pause.
func (c *pauseConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
