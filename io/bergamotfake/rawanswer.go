package bergamotfake

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"

	"bergamotspur/io/bergamotlimit"
)

// A RawAnswer is an answer that a runner sends byte by byte as it stands, before it has read the body of the request.
type RawAnswer struct {
	Status string // code and reason, such as "200 OK"
	Fields string // lines of the header besides the ID of the request and the stamp, each with its line end
	Body   string // with its framing
	// Wait is called between the answer and the end of its connection; nil for none.
	Wait func()
	// Reset makes the runner reset the connection. Otherwise it ends in order: the runner ends its side and reads what still arrives.
	Reset bool
	// Unread makes the runner close the connection after it has ended its side in order, without reading what still arrives.
	Unread bool
	// Left is the number of answers that are left, of all runners that send this one; nil for no limit.
	Left *atomic.Int32
}

// SendRaw makes the runner answer requests with a; nil ends that.
func (f *RelayRunner) SendRaw(a *RawAnswer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.raw = a
}

// takeRaw returns the raw answer for the next request, nil for none. The caller holds the lock.
func (f *RelayRunner) takeRaw() *RawAnswer {
	if f.raw != nil && f.raw.Left != nil && f.raw.Left.Add(-1) < 0 {
		return nil
	}
	return f.raw
}

// sendRaw sends a raw answer.
func (f *RelayRunner) sendRaw(w http.ResponseWriter, a RawAnswer) {
	c, out, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err) // the server of the fake supports it
	}
	defer func() { _ = c.Close() }() // failed writes are ignored: the caller may have gone away
	_, _ = fmt.Fprintf(out, "HTTP/1.1 %s\r\n", a.Status)
	_ = w.Header().Write(out)
	_, _ = out.WriteString(a.Fields + "\r\n" + a.Body)
	_ = out.Flush()
	if a.Wait != nil {
		a.Wait()
	}
	limited := c.(*bergamotlimit.Conn)
	if a.Reset {
		_ = limited.Conn.(*pauseConn).SetLinger(0)
		return
	}
	if a.Unread {
		_ = limited.Conn.(*pauseConn).CloseWrite()
		return
	}
	_ = limited.CloseWrite()
	_, _ = io.Copy(io.Discard, c)
}

// NewRawHandler returns a handler that reads each request, answers it with text as it stands, and closes the connection.
func NewRawHandler(text string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // a client that has gone away needs no answer
		c, out, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err) // the server of a test supports it
		}
		defer func() { _ = c.Close() }() // the client sees a failure
		_, _ = out.WriteString(text)
		_ = out.Flush()
	})
}
