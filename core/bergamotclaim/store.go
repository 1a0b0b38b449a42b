package bergamotclaim

import (
	"context"
	"time"

	"bergamotspur/core/bergamotstore"
)

// Table reads and writes rows of the table service. On a revision conflict, CompareAndSet returns the stored row and
// false.
type Table interface {
	Read(ctx context.Context, key string) (bergamotstore.Row, error)
	CompareAndSet(ctx context.Context, key string, revision int64, value []byte) (bergamotstore.Row, bool, error)
}

// Objects stores and fetches answers that are too large for a row.
type Objects interface {
	Put(ctx context.Context, name string, data []byte) error
	Fetch(ctx context.Context, name string) ([]byte, error)
}

// Clock returns the current time and channels that fire after a delay.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// Counter counts events by name.
type Counter interface {
	Count(name string)
}

// AskFunc asks the service whether a call ran, and returns an error when it gets no usable reply.
type AskFunc func(ctx context.Context) (ran bool, err error)
