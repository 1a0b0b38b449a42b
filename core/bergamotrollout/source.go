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

// Fetcher reads objects of the object store, or returns bergamotstore.ErrNotFound.
type Fetcher interface {
	Fetch(ctx context.Context, name string) ([]byte, error)
}

// Source reads the bundle in force for an entry.
type Source struct {
	Table   RowReader
	Objects Fetcher
	Peers   Fetcher                  // other entries, asked when the object store fails; may be nil
	Trust   bergamotbundle.Authority // where an entry starts that has no bundle
	// Timeout bounds the read of the table, which is short: a silent connection must not take the time that a
	// text needs on a slow link. 0 stands for the time of the caller.
	Timeout time.Duration

	mu   sync.Mutex
	last *bergamotbundle.Bundle // last bundle fetched, so that a rejected head is not fetched and parsed at each read
}

// Head returns the bundle that the head names, or nil when it is current or none was rolled out. Only the
// table says which bundle is in force; the text may come from anywhere, since its digest and the approvals
// are verified. It returns an error for a head that is older than current or not approved.
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
	if b, err = s.candidate(ctx, head); err != nil {
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

func (s *Source) candidate(ctx context.Context, head Head) (b *bergamotbundle.Bundle, err error) {
	if b = s.last; b == nil || b.Digest() != head.digest {
		if b, err = fetchBundle(ctx, s.fetchers(), head.digest); err != nil {
			return nil, err
		}
		s.last = b
	}
	if b.Version() != head.version || b.Parent() != head.parent {
		return nil, oops.Errorf("head names version %d, but the bundle with digest %s has version %d or another parent",
			head.version, head.digest, b.Version())
	}
	return b, nil
}

func (s *Source) fetchers() Fetcher {
	if s.Peers == nil {
		return s.Objects
	}
	return either{first: s.Objects, second: s.Peers}
}

// either asks the second source when the first fails.
type either struct{ first, second Fetcher }

// Fetch returns the object from the first source that has it.
func (e either) Fetch(ctx context.Context, name string) ([]byte, error) {
	data, err := e.fetchFirst(ctx, name)
	if err == nil && validObject(name, data) {
		return data, nil
	}
	other, otherErr := e.second.Fetch(ctx, name)
	if otherErr == nil {
		return other, nil
	}
	if errors.Is(err, bergamotstore.ErrNotFound) && errors.Is(otherErr, bergamotstore.ErrNotFound) {
		return nil, bergamotstore.ErrNotFound
	}
	return nil, errors.Join(err, otherErr)
}

// fetchFirst leaves half of the time for the second source, since a store that hangs gives no error.
func (e either) fetchFirst(ctx context.Context, name string) ([]byte, error) {
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Until(deadline)/2)
		defer cancel()
	}
	return e.first.Fetch(ctx, name)
}
