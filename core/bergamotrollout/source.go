package bergamotrollout

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/samber/oops"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotstore"
)

// RowReader reads rows of the table service.
type RowReader interface {
	Read(ctx context.Context, key string) (bergamotstore.Row, error)
}

// Fetcher reads objects of the object store. Fetch returns bergamotstore.ErrNotFound if there is no such object.
type Fetcher interface {
	Fetch(ctx context.Context, name string) ([]byte, error)
}

// Source reads and verifies the bundle in force on behalf of an entry.
type Source struct {
	Table   RowReader
	Objects Fetcher
	Peers   Fetcher                  // other entries, asked when the object store fails; may be nil
	Trust   bergamotbundle.Authority // operators whose approval an entry without a bundle accepts
	// Timeout bounds the read of the row of the head; 0 leaves the deadline of the caller. The row is small, so that
	// the timeout can be short: a connection without replies must not use up the time that a text needs on a slow link.
	Timeout time.Duration

	mu          sync.Mutex
	lastFetched *bergamotbundle.Bundle // kept so that a bundle that fails verification is not fetched and parsed at each read
}

// Head returns the bundle that the head names, or nil if that is current or no bundle was rolled out. Only the table
// determines which bundle is in force; the text may come from any source, since its digest and the approvals are
// verified. It returns an error if the head names a bundle that is not newer than current or not approved.
func (s *Source) Head(ctx context.Context, current *bergamotbundle.Bundle) (b *bergamotbundle.Bundle, err error) {
	defer func() { err = oops.In("rollout").Wrapf(err, "read head") }()
	s.mu.Lock()
	defer s.mu.Unlock()
	row, err := s.row(ctx)
	if err != nil {
		return nil, err
	}
	if row.Revision() == 0 {
		if current != nil {
			return nil, oops.Errorf("the table has no head, but version %d is in force", current.Version())
		}
		return nil, nil
	}
	head, err := DecodeHead(row.Value())
	if err != nil || current != nil && head.digest == current.Digest() {
		return nil, err
	}
	if current != nil && head.version <= current.Version() {
		return nil, oops.Errorf("head names version %d with digest %s, but version %d with digest %s is in force",
			head.version, head.digest, current.Version(), current.Digest())
	}
	if b, err = s.headBundle(ctx, head); err != nil {
		return nil, err
	}
	if err = s.verify(ctx, b, head.approvals, current); err != nil {
		return nil, err
	}
	return b, nil
}

func (s *Source) row(ctx context.Context) (bergamotstore.Row, error) {
	if s.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, s.Timeout)
		defer cancel()
	}
	return s.Table.Read(ctx, HeadKey)
}

func (s *Source) headBundle(ctx context.Context, head Head) (b *bergamotbundle.Bundle, err error) {
	if b = s.lastFetched; b == nil || b.Digest() != head.digest {
		if b, err = fetchBundle(ctx, s.fetcher(), head.digest); err != nil {
			return nil, err
		}
		s.lastFetched = b
	}
	if b.Version() != head.version || b.Parent() != head.parent {
		return nil, oops.Errorf("head names version %d, but the bundle with digest %s has version %d or another parent",
			head.version, head.digest, b.Version())
	}
	return b, nil
}

func (s *Source) fetcher() Fetcher {
	if s.Peers == nil {
		return s.Objects
	}
	return fallbackFetcher{primary: s.Objects, fallback: s.Peers}
}

// fallbackFetcher reads an object from fallback if primary fails or returns data that does not match its digest.
type fallbackFetcher struct{ primary, fallback Fetcher }

// Fetch returns the object from primary or else from fallback, or bergamotstore.ErrNotFound if neither has it.
func (e fallbackFetcher) Fetch(ctx context.Context, name string) ([]byte, error) {
	data, err := e.fetchPrimary(ctx, name)
	if err == nil && matchesDigest(name, data) {
		return data, nil
	}
	other, otherErr := e.fallback.Fetch(ctx, name)
	if otherErr == nil {
		return other, nil
	}
	if errors.Is(err, bergamotstore.ErrNotFound) && errors.Is(otherErr, bergamotstore.ErrNotFound) {
		return nil, bergamotstore.ErrNotFound
	}
	return nil, errors.Join(err, otherErr)
}

// fetchPrimary spends at most half of the time until the deadline, since a store that hangs would otherwise leave no
// time for the fallback.
func (e fallbackFetcher) fetchPrimary(ctx context.Context, name string) ([]byte, error) {
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Until(deadline)/2)
		defer cancel()
	}
	return e.primary.Fetch(ctx, name)
}
