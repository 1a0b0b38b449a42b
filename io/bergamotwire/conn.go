package bergamotwire

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Conn is a connection that ends with io.EOF only if the other side has closed it in order.
//
// The kernel reports the failure of a connection, such as a reset, to a single call. If that is a Write, the next Read returns the same
// as after an orderly end, which would complete an answer that has neither a length nor chunks.
//
// The other side may also end its answer in order and then reset the connection, since it does not take the rest of the request. What is
// still written is dropped then, so that the writer does not close the connection before the answer has been read.
type Conn struct {
	net.Conn
	writing sync.Mutex // held by Write
	lost    error      // with which the connection failed in a Write; guarded by writing
}

// NewConn returns a connection that reads from and writes to c.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Write writes p, and keeps an error with which the connection fails for Read. It drops p without an error once the other side has closed the
// connection in order and takes nothing more.
func (c *Conn) Write(p []byte) (n int, err error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err = c.Conn.Write(p)
	// EPIPE is not the report of a failure: either the other side had closed the connection in order before it reset it, or the failure has
	// been reported already.
	var errno syscall.Errno
	switch {
	case !errors.As(err, &errno):
		return n, err
	case errno == syscall.EPIPE:
		return len(p), nil
	default:
		c.lost = err
		return n, err
	}
}

// Read reads into p. At the end it returns the error of a Write if the connection failed there, and otherwise io.EOF; a Write that still
// waits then fails.
func (c *Conn) Read(p []byte) (n int, err error) {
	if n, err = c.Conn.Read(p); !errors.Is(err, io.EOF) {
		return n, err
	}
	if !c.writing.TryLock() {
		// A Write that has begun may have been told of the failure without having returned.
		if deadlineErr := c.SetWriteDeadline(time.Unix(1, 0)); deadlineErr != nil {
			return n, deadlineErr // the connection was closed by this side
		}
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	if c.lost != nil {
		return n, c.lost
	}
	return n, err
}
