package bergamotlimit

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"bergamotspur/core/bergamotaccount"
)

// Queries is a handler for servers that take no bodies but short ones: it reads each whole before it passes the request on.
type Queries struct {
	Next     http.Handler
	Account  *bergamotaccount.Account
	MaxBytes int64         // of a body, 0 for none
	Timeout  time.Duration // in which a body has to arrive
	Recorder Recorder
}

// ServeHTTP refuses a body that is too large, too slow or finds no memory.
func (q *Queries) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Body == nil || r.Body == http.NoBody {
		q.Next.ServeHTTP(w, r)
		return
	}
	b := NewBody(http.NewResponseController(w), r)
	defer b.End()
	if b.Length() > q.MaxBytes || q.MaxBytes == 0 {
		q.refuse(w, b, http.StatusRequestEntityTooLarge, "size", b.Length())
		return
	}
	charge := q.Account.Open(bergamotaccount.NewHolder(bergamotaccount.KindPeer, b.Connection(), func(bergamotaccount.Cause) { b.Abort() }))
	defer charge.Close()
	b.SetDeadline(time.Now().Add(q.Timeout))
	data, err := bergamotaccount.ReadAll(b, charge, 0, b.Length(), q.MaxBytes)
	switch {
	case errors.Is(err, bergamotaccount.ErrTooLarge):
		q.refuse(w, b, http.StatusRequestEntityTooLarge, "size", q.MaxBytes)
	case errors.Is(err, bergamotaccount.ErrFull):
		q.refuse(w, b, http.StatusServiceUnavailable, "memory", b.Length())
	case err != nil:
		q.refuse(w, b, http.StatusRequestTimeout, "upload", int64(len(data)))
	default:
		b.SetDeadline(time.Time{})
		r.Body = io.NopCloser(bytes.NewReader(data))
		q.Next.ServeHTTP(w, r)
	}
}

func (q *Queries) refuse(w http.ResponseWriter, b *Body, status int, cause string, size int64) {
	q.Recorder.RecordLimit(cause, bergamotaccount.KindPeer, b.Connection(), size)
	b.Refuse(w.Header())
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}
