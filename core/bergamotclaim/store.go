package bergamotclaim

import (
	"context"
	"time"

	"bergamotspur/core/bergamotstore"
)

// Table reads and writes rows of the table service; CompareAndSet returns the stored row on conflict.
type Table interface {
	Read(ctx context.Context, key string) (bergamotstore.Row, error)
	CompareAndSet(ctx context.Context, key string, revision int64, value []byte) (bergamotstore.Row, bool, error)
}

// Objects stores and returns answers that are too large for a row.
type Objects interface {
	Put(ctx context.Context, name string, data []byte) error
	Fetch(ctx context.Context, name string) ([]byte, error)
}

// Clock tells the time and wakes a waiting goroutine.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// Counter counts events by name.
type Counter interface {
	Count(name string)
}

// Ask asks the service whether a call ran.
type Ask func(ctx context.Context) (ran bool, err error)
