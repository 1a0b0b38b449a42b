package bergamotpeer

import (
	"net"
	"time"
)

// Timeouts of a connection.
const (
	idleTimeout      = 30 * time.Second // a partner sends a heartbeat every 2 s; a connection without traffic is closed
	callTimeout      = 2 * time.Second  // of one write, or of the handling of one request
	handshakeTimeout = 2 * time.Second
)

// deadlineConn sets a deadline for each read and write, so that an unresponsive peer does not block a goroutine.
type deadlineConn struct {
	net.Conn
	writeTimeout time.Duration
}

// Read reads with a deadline of idleTimeout.
func (c deadlineConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Write writes with a deadline of writeTimeout.
func (c deadlineConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
