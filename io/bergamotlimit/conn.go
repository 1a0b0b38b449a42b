package bergamotlimit

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"bergamotspur/core/bergamotaccount"
)

const (
	// connectionBytes is the charge of an open connection: about 24 KB for its goroutine, its buffers and an ordinary head,
	// and what the kernel may hold for it.
	connectionBytes = 24<<10 + receiveBuffer
	// receiveBuffer is the receive buffer of a connection in bytes. Bytes that the kernel has received count towards the
	// memory of the machine; at 20 Mbit/s this is enough for 6 ms of round trip.
	receiveBuffer = 16 << 10
	// bufferSize is the size of the read buffer of net/http.
	bufferSize = 4 << 10
	// writePiece is the number of bytes for which the time limit of a write counts.
	writePiece = 256 << 10
)

// phase is the stage of a connection.
type phase int

const (
	phaseNew     phase = iota // no byte has arrived
	phaseIdle                 // between two requests
	phaseHead                 // a head arrives
	phaseActive               // a head has arrived and its request has not ended
	phaseClosing              // a refusal was sent, what still arrives is discarded
	phaseClosed
)

var (
	longAgo = time.Unix(1, 0)
	newline = []byte{'\n'}
)

// Conn is a connection of a client. Its methods are called by net/http, except for those that a request's Body uses.
type Conn struct {
	net.Conn
	listener *Listener
	charge   *bergamotaccount.Charge
	name     string
	writeBy  time.Time // deadline of writes; used by the writing goroutine only

	mu        sync.Mutex
	phase     phase
	since     time.Time // start of the phase, for phaseNew, phaseIdle and phaseHead
	head      headCounter
	carried   int                   // lines that may be in the buffer of net/http, at most
	bodyBy    time.Time             // deadline for the body that the next read sets, zero for none
	deadlines int                   // read deadlines since the connection became idle
	idleBy    time.Time             // deadline of the idle time
	cause     bergamotaccount.Cause // why it was evicted, empty if it was not
	served    bool                  // the handler has been called for the current request
	refused   bool                  // the connection has answered by itself; nothing else may be written
}

// Read reads from the connection. It counts the heads, and answers those that it has to refuse.
func (c *Conn) Read(p []byte) (n int, err error) {
	if err = c.beginRead(); err != nil {
		return 0, err
	}
	n, err = c.Conn.Read(p)
	return c.endRead(p[:n], len(p), err)
}

// beginRead returns an error if nothing more may be read.
func (c *Conn) beginRead() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase >= phaseClosing || c.refused {
		return os.ErrDeadlineExceeded
	}
	// net/http sets one deadline before it waits for a request and another one when it reads the head. While it waits, its
	// buffer is empty.
	switch {
	case !c.bodyBy.IsZero():
		by := c.bodyBy
		c.bodyBy = time.Time{}
		return c.Conn.SetReadDeadline(by)
	case c.phase == phaseIdle && c.deadlines <= 1:
		c.carried = 0
	case c.phase == phaseIdle && c.carried > 0:
		c.startHead()
		if c.chargeHead() != "" {
			return os.ErrDeadlineExceeded
		}
	}
	return nil
}

// startHead records that a head begins to arrive. The caller holds the lock.
func (c *Conn) startHead() {
	if c.phase == phaseIdle {
		c.since = c.listener.Clock.Now()
	}
	c.phase, c.head = phaseHead, headCounter{}
	c.charge.Begin(bergamotaccount.KindHead)
}

// chargeHead charges the head and returns the answer to one that has to be refused. The caller holds the lock.
func (c *Conn) chargeHead() (answer string) {
	if c.charge.Resize(connectionBytes+c.extraHead()) != nil {
		c.cause = bergamotaccount.CauseFull
		return refuseMemory
	}
	return ""
}

// endRead counts what a read of at most size bytes has returned.
func (c *Conn) endRead(p []byte, size int, readErr error) (int, error) {
	c.mu.Lock()
	answer := ""
	switch {
	case c.phase == phaseActive:
		c.carry(p, size)
	case c.phase < phaseActive && c.cause != "":
		answer = refuseMemory
	case c.phase < phaseActive && len(p) > 0:
		answer = c.countHead(p, size)
	}
	if answer != "" {
		c.refused = true
	}
	c.mu.Unlock()
	if answer == "" {
		return len(p), readErr
	}
	c.answer(answer)
	// With this error net/http closes the connection without an answer of its own.
	return 0, os.ErrDeadlineExceeded
}

// countHead counts bytes of a head and returns the answer to one that has to be refused. The caller holds the lock.
func (c *Conn) countHead(p []byte, size int) (answer string) {
	if c.phase != phaseHead {
		c.startHead()
	}
	wasDone := c.head.done
	rest := c.head.add(p)
	if wasDone {
		rest = p
	}
	c.carry(rest, size)
	if c.head.lines > c.listener.maxLines() {
		c.listener.record("lines", bergamotaccount.KindHead, c.name, c.headCost())
		return refuseHead
	}
	c.charge.Progress(len(p))
	return c.chargeHead()
}

// carry counts the lines that may belong to the next head: net/http may have read them into its buffer beyond the end of the
// current request. The caller holds the lock.
func (c *Conn) carry(p []byte, size int) {
	if size > bufferSize || len(p) == 0 {
		return
	}
	c.carried = min(c.carried+bytes.Count(p, newline), bufferSize/shortestLine)
}

// headCost returns the memory of the head that arrives or has arrived. The caller holds the lock.
func (c *Conn) headCost() int64 { return c.head.cost() }

// extraHead returns the memory of the head beyond that of an ordinary one, which is part of the charge of the connection. The
// caller holds the lock.
func (c *Conn) extraHead() int64 {
	return max(c.headCost()+int64(c.carried)*lineBytes-ordinaryHead, 0)
}

// Write writes with a time limit for each piece, so that a client that reads nothing does not hold its request for good.
func (c *Conn) Write(p []byte) (n int, err error) {
	c.mu.Lock()
	refused, served, closing := c.refused, c.served, c.phase >= phaseClosing
	c.mu.Unlock()
	if refused || closing {
		return 0, net.ErrClosed
	}
	n, err = c.writePieces(p)
	if !served && err == nil {
		// An error reply of net/http, which closes the connection next.
		_ = c.CloseWrite() // the connection is closed in any case
	}
	return n, err
}

func (c *Conn) writePieces(p []byte) (n int, err error) {
	for len(p) > 0 && err == nil {
		now := time.Now()
		limit := c.listener.WriteTimeout
		if limit > 0 && c.writeBy.Sub(now) < limit {
			c.writeBy = now.Add(2 * limit) // twice the limit, so that few writes have to set it
			if err = c.Conn.SetWriteDeadline(c.writeBy); err != nil {
				return n, err
			}
		}
		var written int
		written, err = c.Conn.Write(p[:min(len(p), writePiece)])
		n, p = n+written, p[written:]
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.listener.record("write", bergamotaccount.KindConnection, c.name, int64(len(p)))
	}
	return n, err
}

// SetWriteDeadline does nothing: Write sets the deadlines.
func (c *Conn) SetWriteDeadline(time.Time) error { return nil }

// SetReadDeadline sets the deadline of reads unless the connection has been evicted, whose reads have to end.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadlines++
	c.bodyBy = time.Time{}
	if c.cause != "" || c.phase >= phaseClosing {
		return nil
	}
	if !t.IsZero() {
		t = c.deadline(t)
	}
	return c.Conn.SetReadDeadline(t)
}

// setBodyDeadline sets the deadline of the body, zero for none. It takes effect with the next read: most bodies arrive with their
// heads, so that they need no timer.
func (c *Conn) setBodyDeadline(t time.Time) {
	c.mu.Lock()
	wasSet := c.bodyBy.IsZero()
	c.bodyBy = t
	c.mu.Unlock()
	if t.IsZero() && wasSet {
		_ = c.SetReadDeadline(t) // a closed connection needs none
	}
}

// setState follows the state that net/http reports: active once it has read a head, idle once it has answered.
func (c *Conn) setState(s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase >= phaseClosing {
		return
	}
	switch s {
	case http.StateActive:
		c.phase, c.served = phaseActive, false
		c.charge.Serve()
	case http.StateIdle:
		c.phase, c.served, c.since, c.deadlines = phaseIdle, false, c.listener.Clock.Now(), 0
		c.head = headCounter{}
		c.charge.Idle(connectionBytes)
	default:
	}
}

// serve records that the handler has been called, and returns false if the connection was evicted or closed before: a server that
// stops closes the connections that it has seen idle, also those whose next request it has just read.
func (c *Conn) serve() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.served = true
	return c.cause == "" && c.phase < phaseClosing
}

// moveHead removes the memory of the head from the charge.
func (c *Conn) moveHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.extraHead() > 0 {
		_ = c.charge.Resize(connectionBytes) // it becomes smaller
	}
}

func (c *Conn) extraHeadBytes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.extraHead()
}

// evict ends the connection, whose charge has been removed. A head that arrives is refused by the reading goroutine.
func (c *Conn) evict(cause bergamotaccount.Cause) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cause != "" || c.phase == phaseClosed {
		return
	}
	c.cause = cause
	switch c.phase {
	case phaseHead:
		_ = c.Conn.SetReadDeadline(longAgo) // a closed connection needs none
	case phaseActive:
		// The handler refuses the request if it has not begun.
	default:
		_ = c.Conn.Close() // the connection is not used again
	}
}

// claim evicts the connection if it is still in the given phase.
func (c *Conn) claim(p phase) bool {
	c.mu.Lock()
	isIn := c.phase == p && c.cause == ""
	c.mu.Unlock()
	if !isIn {
		return false
	}
	c.evict(bergamotaccount.CauseIdle)
	return true
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.mu.Lock()
	wasClosed := c.phase == phaseClosed
	c.phase = phaseClosed
	c.mu.Unlock()
	if wasClosed {
		return nil
	}
	c.charge.Close()
	c.listener.remove(c)
	return c.Conn.Close()
}
