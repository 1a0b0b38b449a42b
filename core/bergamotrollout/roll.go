package bergamotrollout

import (
	"context"

	"github.com/samber/oops"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotstore"
)

// Table reads and writes rows of the table service.
type Table interface {
	RowReader
	CompareAndSet(ctx context.Context, key string, revision int64, value []byte) (bergamotstore.Row, bool, error)
}

// Putter writes objects to the object store.
type Putter interface {
	Put(ctx context.Context, name string, data []byte) error
}

// Propose checks a bundle text and stores it under its digest.
func Propose(ctx context.Context, objects Putter, name string, text []byte) (b *bergamotbundle.Bundle, err error) {
	defer func() { err = oops.In("rollout").Wrapf(err, "propose") }()
	if b, err = bergamotbundle.Parse(name, text); err != nil {
		return nil, err
	}
	return b, objects.Put(ctx, ObjectName(b.Digest()), text)
}

// Roll moves the head from the parent of b to b.
func Roll(ctx context.Context, table Table, b *bergamotbundle.Bundle, by string) (err error) {
	defer func() { err = oops.In("rollout").Wrapf(err, "roll version %d", b.Version()) }()
	row, err := table.Read(ctx, HeadKey)
	if err != nil {
		return err
	}
	var head Head
	if row.Revision() > 0 {
		if head, err = DecodeHead(row.Value()); err != nil {
			return err
		}
	}
	if head.Digest() != b.Parent() || b.Version() != head.Version()+1 {
		return oops.Errorf("%s rolled out version %d with digest %s, which is not the parent", head.By(), head.Version(), head.Digest())
	}
	value, err := NewHead(b.Version(), b.Digest(), b.Parent(), by).Encode()
	if err != nil {
		return err
	}
	_, ok, err := table.CompareAndSet(ctx, HeadKey, row.Revision(), value)
	if err == nil && !ok {
		return oops.Errorf("another operator rolled out a version at the same time")
	}
	return err
}
