package bergamotrelay

import (
	"context"
	"errors"
	"io"
	"os"
	"time"

	"bergamotspur/core/bergamotaccount"
	"bergamotspur/core/bergamotrequest"
)

// memoryRetryAfter is the Retry-After time of a request for which there is no memory. Bodies that make no progress are given
// up after a second.
const memoryRetryAfter = time.Second

// Content is the body of a caller's request before it has been read.
type Content interface {
	io.Reader
	// Length returns the declared size in bytes, -1 if none is declared.
	Length() int64
	// Connection returns the name of the caller's connection.
	Connection() string
	// HeadBytes returns the memory of the request's head if it is more than that of ordinary ones, else 0.
	HeadBytes() int64
	// MoveHead removes the memory of the head from the charge of the connection.
	MoveHead()
	// SetDeadline sets the time at which reads end, zero for none.
	SetDeadline(t time.Time)
	// Abort ends all reads; it does not block.
	Abort()
}

// BodyReader reads the body of a request. It comes after the filters that need no body, so that the bodies of requests which
// they refuse are never read.
type BodyReader struct {
	Account *bergamotaccount.Account
	// OnRefuse is called for each refusal with the key of the holder and the bytes that were read or declared.
	OnRefuse func(r bergamotrequest.Reason, key string, bytes int64)
}

// Name returns "body".
func (f *BodyReader) Name() string { return "body" }

// Filter refuses a request whose body is larger than the configuration allows, is not complete by the deadline, or finds no
// memory. The body is charged until the request has ended.
func (f *BodyReader) Filter(ctx context.Context, x *Exchange, next Handler) error {
	c := x.Request().Content()
	if c == nil || c.Length() == 0 && c.HeadBytes() == 0 {
		return next.Handle(ctx, x)
	}
	key := x.Workspace().Name()
	if key == "" {
		key = c.Connection()
	}
	limit := x.View().Config().Limits().MaxBodyBytes
	if limit > 0 && c.Length() > limit {
		f.OnRefuse(bergamotrequest.ReasonSize, key, c.Length())
		return refuseSize(limit)
	}
	charge := f.Account.Open(bergamotaccount.NewHolder(bergamotaccount.KindBody, key, func(bergamotaccount.Cause) { c.Abort() }))
	defer charge.Close()
	if refusal := f.read(ctx, x, charge, limit); refusal != nil {
		switch r := refusal.Reason(); r {
		case bergamotrequest.ReasonSize, bergamotrequest.ReasonMemory, bergamotrequest.ReasonUpload:
			f.OnRefuse(r, key, int64(len(x.Request().Body())))
		default: // not because of a limit
		}
		x.Request().spec.Body = nil
		charge.Close()
		return refusal
	}
	return next.Handle(ctx, x)
}

// read reads the body into the request and holds its memory.
func (f *BodyReader) read(ctx context.Context, x *Exchange, charge *bergamotaccount.Charge, limit int64) *bergamotrequest.Refusal {
	c := x.Request().Content()
	head := c.HeadBytes()
	c.MoveHead()
	c.SetDeadline(x.Deadline())
	r := &contentReader{ctx: ctx, content: c}
	body, err := bergamotaccount.ReadAll(r, charge, head, c.Length(), limit)
	r.close()
	x.Request().spec.Body = body
	if err == nil {
		err = charge.Hold()
	}
	switch {
	case err == nil:
		c.SetDeadline(time.Time{})
		return nil
	case errors.Is(err, bergamotaccount.ErrTooLarge):
		return refuseSize(limit)
	case errors.Is(err, bergamotaccount.ErrFull) || charge.Cause() != "":
		return bergamotrequest.Refuse(bergamotrequest.ReasonMemory, "no memory for the request").WithRetryAfter(memoryRetryAfter)
	case errors.Is(context.Cause(ctx), errStopping):
		return refuseStopping()
	case errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(ctx.Err(), context.DeadlineExceeded):
		return bergamotrequest.Refuse(bergamotrequest.ReasonUpload, "the body did not arrive in time")
	default:
		return bergamotrequest.Refuse(bergamotrequest.ReasonCancel, "the body breaks off: %v", err)
	}
}

func refuseSize(limit int64) *bergamotrequest.Refusal {
	return bergamotrequest.Refuse(bergamotrequest.ReasonSize, "the body has more than %d bytes", limit)
}

// contentReader ends reads when the request is cancelled, from the second read on: most bodies need only one, which the
// deadline ends.
type contentReader struct {
	ctx     context.Context
	content Content
	reads   int
	stop    func() bool
}

// Read reads from the content.
func (r *contentReader) Read(p []byte) (int, error) {
	if r.reads++; r.reads == 2 {
		r.stop = context.AfterFunc(r.ctx, r.content.Abort)
	}
	return r.content.Read(p)
}

func (r *contentReader) close() {
	if r.stop != nil {
		r.stop()
	}
}
