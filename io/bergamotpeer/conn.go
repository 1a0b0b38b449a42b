package bergamotpeer

import (
	"net"
	"time"
)

// Times of a connection.
const (
	idleTimeout      = 30 * time.Second // a partner sends a heartbeat in 2 s; a connection without any is closed
	callTimeout      = 2 * time.Second  // longest time of one write or one reply of a server
	handshakeTimeout = 2 * time.Second
)

// limited sets a deadline for each read and write, so that no silent peer holds a goroutine.
type limited struct {
	net.Conn
	write time.Duration // longest time of one write
}

// Read waits at most for the idle time.
func (c limited) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Write waits at most for the time of one write.
func (c limited) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.write)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
