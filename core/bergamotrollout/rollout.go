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

// Table reads and writes rows of the table service.
type Table interface {
	RowReader
	CompareAndSet(ctx context.Context, key string, revision int64, value []byte) (bergamotstore.Row, bool, error)
}

// Objects reads and writes objects of the object store.
type Objects interface {
	Fetcher
	Put(ctx context.Context, name string, data []byte) error
}

// Clock wakes a command that waits before it repeats a call.
type Clock interface {
	After(d time.Duration) <-chan time.Time
}

// Calls that can be repeated safely are repeated this often, with a pause that doubles.
const (
	tries     = 4
	firstWait = 250 * time.Millisecond
)

// Rollout takes a bundle from a text to the one in force, on behalf of an operator.
type Rollout struct {
	Table   Table
	Objects Objects
	Trust   bergamotbundle.Authority // approves the first bundle
	Clock   Clock
}

// Propose checks a bundle text and stores it under its digest.
func (r *Rollout) Propose(ctx context.Context, name string, text []byte) (b *bergamotbundle.Bundle, err error) {
	if b, err = bergamotbundle.Parse(name, text); err != nil {
		return nil, err
	}
	data, err := pack(text)
	if err != nil {
		return nil, err
	}
	if err = r.put(ctx, ObjectName(b.Digest()), data); err != nil {
		return nil, fail(err, "nothing is in force yet; run the same command again once the object store answers",
			"the object store did not confirm that it stored the bundle")
	}
	return b, nil
}

// put stores an object. The same name always gets the same data, so that repeating is safe; a lost reply is
// settled by reading back.
func (r *Rollout) put(ctx context.Context, name string, data []byte) (err error) {
	wait := firstWait
	for n := 1; ; n++ {
		if err = r.Objects.Put(ctx, name, data); err == nil {
			return nil
		}
		if stored, readErr := r.Objects.Fetch(ctx, name); readErr == nil && sameObject(name, stored, data) {
			return nil
		}
		if n == tries || !r.pause(ctx, &wait) {
			return err
		}
	}
}

// sameObject tells whether two objects of one name store the same, since two versions of the compressor may
// give different bytes for one bundle text.
func sameObject(name string, a, b []byte) bool {
	return bytes.Equal(a, b) || strings.HasPrefix(name, ObjectName("")) && validObject(name, a)
}

// pause waits and tells whether to go on.
func (r *Rollout) pause(ctx context.Context, wait *time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-r.Clock.After(*wait):
		*wait *= 2
		return true
	}
}

// Head returns the head and the revision of its row; the version is 0 when no bundle was rolled out.
func (r *Rollout) Head(ctx context.Context) (h Head, revision int64, err error) {
	row, err := r.Table.Read(ctx, HeadKey)
	if err != nil {
		return h, 0, fail(err, "nothing was changed; run the same command again once the table answers",
			"the table did not tell which bundle is in force")
	}
	if row.Revision() == 0 {
		return h, 0, nil
	}
	if h, err = DecodeHead(row.Value()); err != nil {
		return h, 0, fail(err, "nothing was changed; find out who wrote the row \"head\" of the table", "the head cannot be read")
	}
	return h, row.Revision(), nil
}

// Bundle returns the stored bundle of a digest.
func (r *Rollout) Bundle(ctx context.Context, digest string) (b *bergamotbundle.Bundle, err error) {
	b, err = fetchBundle(ctx, r.Objects, digest)
	switch {
	case errors.Is(err, bergamotstore.ErrNotFound):
		return nil, fail(err, "check the digest, or store the text with \"bundle propose FILE\"", "no bundle with digest %s is stored", digest)
	case err != nil:
		return nil, fail(err, "nothing was changed; run the same command again once the object store answers",
			"the bundle with digest %s cannot be read", digest)
	}
	return b, nil
}

// authority returns who must approve the version after head.
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
