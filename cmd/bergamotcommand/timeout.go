package bergamotcommand

import (
	"context"
	"time"

	"bergamotspur/core/bergamotrollout"
	"bergamotspur/core/bergamotstore"
)

// callTimeout limits each call to the table or the object store, so that a call that hangs leaves time within the
// command's timeout to retry it and to read back what was written.
const callTimeout = 5 * time.Second

// timeoutTable wraps a table and limits each call to callTimeout.
type timeoutTable struct{ table bergamotrollout.Table }

// Read reads a row.
func (t timeoutTable) Read(ctx context.Context, key string) (bergamotstore.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return t.table.Read(ctx, key)
}

// CompareAndSet writes a row.
func (t timeoutTable) CompareAndSet(ctx context.Context, key string, revision int64, value []byte) (bergamotstore.Row, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return t.table.CompareAndSet(ctx, key, revision, value)
}

// timeoutObjects wraps an object store and limits each call to callTimeout.
type timeoutObjects struct{ objects bergamotrollout.Objects }

// Fetch reads an object.
func (t timeoutObjects) Fetch(ctx context.Context, name string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return t.objects.Fetch(ctx, name)
}

// Put writes an object.
func (t timeoutObjects) Put(ctx context.Context, name string, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return t.objects.Put(ctx, name, data)
}
