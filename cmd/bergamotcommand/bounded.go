package bergamotcommand

import (
	"context"
	"time"

	"bergamotspur/core/bergamotrollout"
	"bergamotspur/core/bergamotstore"
)

// callTimeout bounds each call, so that a service that hangs leaves time to try again and to read back.
const callTimeout = 5 * time.Second

// bounded is a table whose calls end.
type bounded struct{ table bergamotrollout.Table }

// Read reads a row.
func (b bounded) Read(ctx context.Context, key string) (bergamotstore.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return b.table.Read(ctx, key)
}

// CompareAndSet writes a row.
func (b bounded) CompareAndSet(ctx context.Context, key string, revision int64, value []byte) (bergamotstore.Row, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return b.table.CompareAndSet(ctx, key, revision, value)
}

// boundedObjects is an object store whose calls end.
type boundedObjects struct{ objects bergamotrollout.Objects }

// Fetch reads an object.
func (b boundedObjects) Fetch(ctx context.Context, name string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return b.objects.Fetch(ctx, name)
}

// Put writes an object.
func (b boundedObjects) Put(ctx context.Context, name string, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return b.objects.Put(ctx, name, data)
}
