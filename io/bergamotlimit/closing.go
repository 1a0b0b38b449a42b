package bergamotlimit

import (
	"sync"
	"time"

	"bergamotspur/core/bergamotaccount"
)

const (
	// discardTime, unless the listener has another one, and discardBytes bound what is read after a refusal. Unread bytes would make the kernel reset the
	// connection, and the client would lose the refusal.
	discardTime  = 2 * time.Second
	discardBytes = 4 << 20
	discardPiece = 16 << 10
)

// Answers to heads that net/http does not see whole.
const (
	refuseMemory = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain; charset=utf-8\r\nRetry-After: 1\r\n" +
		"Content-Length: 26\r\nConnection: close\r\n\r\nno memory for the request\n"
	refuseHead = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\n" +
		"Content-Length: 28\r\nConnection: close\r\n\r\nthe head has too many lines\n"
)

var discardBuffers = sync.Pool{New: func() any { return new([discardPiece]byte) }}

// answer writes an answer and closes the connection for writing.
func (c *Conn) answer(text string) {
	if _, err := c.writePieces([]byte(text)); err != nil {
		return // the client has gone away
	}
	_ = c.CloseWrite() // the connection is closed in any case
}

// CloseWrite ends writing, and discards what arrives until the client closes, so that it gets the last answer. It takes no
// longer than the listener's DiscardTime. Nothing can be read or written afterwards.
func (c *Conn) CloseWrite() error {
	c.mu.Lock()
	if c.phase >= phaseClosing {
		c.mu.Unlock()
		return nil
	}
	evicted, bytes := c.cause != "", int64(connectionBytes)
	if c.refused {
		bytes += c.extraHead() // net/http has decoded it, and holds it until its read returns
	}
	c.phase = phaseClosing
	c.mu.Unlock()
	c.charge.Idle(bytes)
	tcp, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	if err := tcp.CloseWrite(); err != nil || evicted {
		return err
	}
	return c.discard()
}

// discard reads until the client closes the connection.
func (c *Conn) discard() error {
	limit := c.listener.DiscardTime
	if limit == 0 {
		limit = discardTime
	}
	if err := c.Conn.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return err
	}
	buffer := discardBuffers.Get().(*[discardPiece]byte)
	defer discardBuffers.Put(buffer)
	for left := discardBytes; left > 0; {
		n, err := c.Conn.Read(buffer[:])
		if err != nil {
			return nil // the client has closed, or its time is over
		}
		left -= n
	}
	c.listener.record("discard", bergamotaccount.KindConnection, c.name, discardBytes)
	return nil
}

// stopReading ends all reads, also those that net/http does after a request.
func (c *Conn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase < phaseClosing {
		c.phase = phaseClosing
	}
	_ = c.Conn.SetReadDeadline(longAgo) // a closed connection needs none
}
