package bergamotlimit

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// keptBody is the declared size in bytes up to which the unread body of a refused request is read, so that the
	// connection can be used again.
	keptBody = 64 << 10
	// keptTime is the time in which that body has to arrive.
	keptTime = time.Second
)

// Body is the body of a request with a bound on what its connection may do after a refusal.
type Body struct {
	request *http.Request
	control *http.ResponseController
	conn    *Conn // nil if the request does not come from a Listener

	mu       sync.Mutex
	complete bool // the end has been read
	aborted  bool
	ended    bool // the handler has returned
	closing  bool // the connection has to be closed after the answer
}

// NewBody returns the body of a request, which may be empty.
func NewBody(control *http.ResponseController, r *http.Request) *Body {
	return &Body{request: r, control: control, conn: connOf(r), complete: r.Body == nil || r.Body == http.NoBody}
}

// Length returns the declared size in bytes, -1 if none is declared.
func (b *Body) Length() int64 { return b.request.ContentLength }

// Connection returns the name of the connection.
func (b *Body) Connection() string {
	if b.conn == nil {
		return b.request.RemoteAddr
	}
	return b.conn.name
}

// HeadBytes returns the memory of the head if it is more than that of ordinary ones, else 0.
func (b *Body) HeadBytes() int64 {
	if b.conn == nil {
		return 0
	}
	return b.conn.extraHeadBytes()
}

// MoveHead removes the memory of the head from the charge of the connection.
func (b *Body) MoveHead() {
	if b.conn != nil {
		b.conn.moveHead()
	}
}

// Read reads from the body until its end, its deadline or Abort.
func (b *Body) Read(p []byte) (n int, err error) {
	if b.complete {
		return 0, io.EOF
	}
	n, err = b.request.Body.Read(p)
	b.complete = errors.Is(err, io.EOF)
	if b.isAborted() && !b.complete {
		return n, os.ErrDeadlineExceeded
	}
	return n, err
}

func (b *Body) isAborted() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.aborted
}

// SetDeadline sets the time at which reads end, zero for none.
func (b *Body) SetDeadline(t time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.aborted || b.ended:
	case b.conn != nil:
		b.conn.setBodyDeadline(t)
	default:
		_ = b.control.SetReadDeadline(t) // fails only for connections without deadlines, in tests
	}
}

// Abort ends all reads at once; it has no effect once the handler has returned.
func (b *Body) Abort() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.aborted || b.ended {
		return
	}
	b.aborted = true
	_ = b.control.SetReadDeadline(longAgo) // as in SetDeadline
}

// Refuse prepares the header of a refusal. The connection stays open if the body has been read, or if it is small and may
// still arrive; otherwise it has to be closed.
func (b *Body) Refuse(h http.Header) {
	if b.complete {
		return
	}
	size := b.request.ContentLength
	if size > 0 && size <= keptBody && !b.isAborted() && b.request.Header.Get("Expect") == "" && b.HeadBytes() == 0 {
		_ = b.control.SetReadDeadline(time.Now().Add(keptTime)) // as in SetDeadline; net/http reads the rest
		return
	}
	h.Set("Connection", "close")
	b.closing = true
}

// End finishes the request after its answer, which must have a Content-Length if Refuse was called. Where the connection has
// to be closed, it waits for a bounded time until the client has the answer.
func (b *Body) End() {
	b.mu.Lock()
	b.ended = true
	b.mu.Unlock()
	if !b.closing {
		return
	}
	_ = b.control.Flush() // a client that has gone away misses nothing
	b.request.Header = nil
	if b.conn == nil {
		_ = b.control.SetReadDeadline(longAgo) // as in SetDeadline
		return
	}
	b.conn.moveHead()
	_ = b.conn.CloseWrite() // the connection is closed in any case
}

// Drop ends the request without waiting for the rest of the body, for a handler that aborts.
func (b *Body) Drop() {
	b.mu.Lock()
	b.ended = true
	b.mu.Unlock()
	if b.conn != nil {
		b.conn.stopReading()
		return
	}
	_ = b.control.SetReadDeadline(longAgo) // as in SetDeadline
}
