package bergamotsession

import (
	"context"
	"time"
)

// Retries bounds the attempts after the first recovery of an answer.
type Retries interface {
	// First counts the first attempt of an answer.
	First(workspace string, instances ...string)
	// Next waits before the nth retry, from 1, or returns why it is not allowed.
	Next(ctx context.Context, workspace string, n int, deadline time.Time, instances ...string) error
}
