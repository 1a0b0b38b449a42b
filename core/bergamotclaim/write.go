package bergamotclaim

import (
	"context"
	"errors"

	"bergamotspur/core/bergamotstore"
)

// result tells whether a write took effect.
type result int

const (
	resultWritten  result = iota // the row holds the record
	resultConflict               // the row holds another record, and the write can no longer take effect
	resultRejected               // the write has not taken effect and will not
	resultUnclear                // the write may have taken effect or may yet take effect
)

const maxWriteTries = 2

// write stores the record if the row has the given revision. If the reply is lost, it reads the row and retries the
// write only if the row is unchanged; because of the revision, at most one of the writes takes effect.
func (c *Claims) write(ctx context.Context, key string, revision int64, record Record) (row bergamotstore.Row, r result) {
	value, err := record.Encode()
	if err != nil {
		return row, resultRejected
	}
	for n := range maxWriteTries {
		row, ok, err := c.swap(ctx, key, revision, value)
		switch {
		case err == nil && ok:
			return row, resultWritten
		case err == nil:
			return row, compareRow(row, record)
		case errors.Is(err, bergamotstore.ErrRejected) && n == 0:
			return row, resultRejected
		case ctx.Err() != nil:
			return row, resultUnclear
		}
		if row, err = c.read(ctx, key); err != nil {
			return row, resultUnclear
		}
		if row.Revision() != revision {
			return row, compareRow(row, record)
		}
	}
	return row, resultUnclear
}

// compareRow returns resultWritten if the row holds the record, as after a write whose reply was lost, and
// resultConflict otherwise.
func compareRow(row bergamotstore.Row, record Record) result {
	stored, err := DecodeRecord(row.Value())
	if err == nil && stored.Attempt() == record.Attempt() && stored.State() == record.State() {
		return resultWritten
	}
	return resultConflict
}

func (c *Claims) swap(ctx context.Context, key string, revision int64, value []byte) (bergamotstore.Row, bool, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	return c.Table.CompareAndSet(ctx, key, revision, value)
}

func (c *Claims) read(ctx context.Context, key string) (bergamotstore.Row, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	return c.Table.Read(ctx, key)
}

func (c *Claims) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, c.Timeout)
}
