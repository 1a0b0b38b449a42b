package bergamotrollout

import (
	"context"

	"github.com/samber/oops"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotstore"
)

// RowReader reads rows of the table service.
type RowReader interface {
	Read(ctx context.Context, key string) (bergamotstore.Row, error)
}

// Fetcher reads objects of the object store.
type Fetcher interface {
	Fetch(ctx context.Context, name string) ([]byte, error)
}

// Source reads the bundle in force.
type Source struct {
	Table   RowReader
	Objects Fetcher
}

// Head returns the bundle that the head names, or nil when it is the one with the digest current or none was rolled out.
func (s *Source) Head(ctx context.Context, current string) (b *bergamotbundle.Bundle, err error) {
	defer func() { err = oops.In("rollout").Wrapf(err, "read head") }()
	row, err := s.Table.Read(ctx, HeadKey)
	if err != nil || row.Revision() == 0 {
		return nil, err
	}
	head, err := DecodeHead(row.Value())
	if err != nil || head.Digest() == current {
		return nil, err
	}
	text, err := s.Objects.Fetch(ctx, ObjectName(head.Digest()))
	if err != nil {
		return nil, err
	}
	if bergamotbundle.Digest(text) != head.Digest() {
		return nil, oops.Errorf("object does not match digest %s", head.Digest())
	}
	return bergamotbundle.Parse(ObjectName(head.Digest()), text)
}
