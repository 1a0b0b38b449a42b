package bergamotrollout

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"time"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotstore"
)

// Table reads and writes rows of the table service. CompareAndSet writes the value only if the row still has the
// given revision, and otherwise returns the row and false.
type Table interface {
	RowReader
	CompareAndSet(ctx context.Context, key string, revision int64, value []byte) (bergamotstore.Row, bool, error)
}

// Objects reads and writes objects of the object store.
type Objects interface {
	Fetcher
	Put(ctx context.Context, name string, data []byte) error
}

// Clock is the timer of the pause before a retry.
type Clock interface {
	After(d time.Duration) <-chan time.Time
}

// Limits of the retries of a call that is safe to repeat. The pause doubles after each try.
const (
	maxTries       = 4
	initialBackoff = 250 * time.Millisecond
)

// Rollout checks and stores bundles and puts them in force, on behalf of an operator.
type Rollout struct {
	Table   Table
	Objects Objects
	Trust   bergamotbundle.Authority // operators who approve the first bundle
	Clock   Clock
}

// Propose checks a bundle text and stores it under its digest; name stands for the file in faults. It returns
// bergamotini.Faults if the text is not a valid bundle.
func (r *Rollout) Propose(ctx context.Context, name string, text []byte) (b *bergamotbundle.Bundle, err error) {
	if b, err = bergamotbundle.Parse(name, text); err != nil {
		return nil, err
	}
	data, err := pack(text)
	if err != nil {
		return nil, err
	}
	if err = r.put(ctx, ObjectName(b.Digest()), data); err != nil {
		return nil, newFailure(err, "nothing is in force yet; run the same command again once the object store answers",
			"the object store did not confirm that it stored the bundle")
	}
	return b, nil
}

// put stores an object and retries on errors, which is safe since a name always stands for the same content. After
// each error it reads the object back, since only the reply may have been lost.
func (r *Rollout) put(ctx context.Context, name string, data []byte) (err error) {
	backoff := initialBackoff
	for n := 1; ; n++ {
		if err = r.Objects.Put(ctx, name, data); err == nil {
			return nil
		}
		if stored, readErr := r.Objects.Fetch(ctx, name); readErr == nil && isSameObject(name, stored, data) {
			return nil
		}
		if n == maxTries || !r.backOff(ctx, &backoff) {
			return err
		}
	}
}

// isSameObject reports whether two objects of one name have the same content. Two versions of the compressor may give
// different bytes for the same bundle text, so that the digest of the text decides.
func isSameObject(name string, a, b []byte) bool {
	return bytes.Equal(a, b) || strings.HasPrefix(name, ObjectName("")) && matchesDigest(name, a)
}

// backOff waits, doubles the pause for the next time and reports whether to go on, which it does until ctx is done.
func (r *Rollout) backOff(ctx context.Context, backoff *time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-r.Clock.After(*backoff):
		*backoff *= 2
		return true
	}
}

// Head returns the head and the revision of its row. Without a row, the version of the head is 0.
func (r *Rollout) Head(ctx context.Context) (h Head, revision int64, err error) {
	row, err := r.Table.Read(ctx, HeadKey)
	if err != nil {
		return h, 0, newFailure(err, "nothing was changed; run the same command again once the table answers",
			"the table did not tell which bundle is in force")
	}
	if row.Revision() == 0 {
		return h, 0, nil
	}
	if h, err = DecodeHead(row.Value()); err != nil {
		return h, 0, newFailure(err, "nothing was changed; find out who wrote the row \"head\" of the table", "the head cannot be read")
	}
	return h, row.Revision(), nil
}

// Bundle returns the stored bundle with that digest, or a *Failure if it is missing or cannot be read.
func (r *Rollout) Bundle(ctx context.Context, digest string) (b *bergamotbundle.Bundle, err error) {
	b, err = fetchBundle(ctx, r.Objects, digest)
	switch {
	case errors.Is(err, bergamotstore.ErrNotFound):
		return nil, newFailure(err, "check the digest, or store the text with \"bundle propose FILE\"", "no bundle with digest %s is stored", digest)
	case err != nil:
		return nil, newFailure(err, "nothing was changed; run the same command again once the object store answers",
			"the bundle with digest %s cannot be read", digest)
	}
	return b, nil
}

// authority returns the operators who may approve the version after head.
func (r *Rollout) authority(ctx context.Context, head Head) (a bergamotbundle.Authority, err error) {
	if head.version == 0 {
		return r.Trust, nil
	}
	b, err := r.Bundle(ctx, head.digest)
	if err != nil {
		return a, err
	}
	return b.Authority(), nil
}
