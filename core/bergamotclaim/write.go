package bergamotclaim

import (
	"context"
	"errors"

	"bergamotspur/core/bergamotstore"
)

// result is what is known about a write.
type result int

const (
	resultWritten  result = iota // the row holds the record
	resultConflict               // the row holds something else, and the write cannot take effect any more
	resultRejected               // the write did not and will not take effect
	resultUnclear                // the write may have taken effect or may still do so
)

const writeTries = 2

// write stores the record when the row has the given revision. After a lost reply it reads the row back, and it
// repeats the write only when the row is unchanged; the revision lets at most one of the copies take effect.
func (c *Claims) write(ctx context.Context, key string, revision int64, record Record) (row bergamotstore.Row, r result) {
	value, err := record.Encode()
	if err != nil {
		return row, resultRejected
	}
	for n := range writeTries {
		row, ok, err := c.swap(ctx, key, revision, value)
		switch {
		case err == nil && ok:
			return row, resultWritten
		case err == nil:
			return row, compare(row, record)
		case errors.Is(err, bergamotstore.ErrRejected) && n == 0:
			return row, resultRejected
		case ctx.Err() != nil:
			return row, resultUnclear
		}
		if row, err = c.read(ctx, key); err != nil {
			return row, resultUnclear
		}
		if row.Revision() != revision {
			return row, compare(row, record)
		}
	}
	return row, resultUnclear
}

// compare tells whether the row holds the record, as after a write whose reply was lost.
func compare(row bergamotstore.Row, record Record) result {
	stored, err := DecodeRecord(row.Value())
	if err == nil && stored.Attempt() == record.Attempt() && stored.State() == record.State() {
		return resultWritten
	}
	return resultConflict
}

func (c *Claims) swap(ctx context.Context, key string, revision int64, value []byte) (bergamotstore.Row, bool, error) {
	ctx, cancel := c.bound(ctx)
	defer cancel()
	return c.Table.CompareAndSet(ctx, key, revision, value)
}

func (c *Claims) read(ctx context.Context, key string) (bergamotstore.Row, error) {
	ctx, cancel := c.bound(ctx)
	defer cancel()
	return c.Table.Read(ctx, key)
}

func (c *Claims) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, c.Timeout)
}
