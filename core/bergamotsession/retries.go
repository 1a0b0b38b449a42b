package bergamotsession

import (
	"context"
	"time"
)

// Retries bounds the attempts after the first recovery of an answer.
type Retries interface {
	// RecordFirst counts the first attempt of an answer.
	RecordFirst(workspace string, instances ...string)
	// Wait waits before the nth retry, from 1, or returns why it is not allowed.
	Wait(ctx context.Context, workspace string, n int, deadline time.Time, instances ...string) error
}
