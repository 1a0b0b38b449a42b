package bergamotsession

import (
	"context"
	"time"
)

// Retries limits the attempts after the first retry of an answer.
type Retries interface {
	// RecordFirst counts the first attempt of an answer.
	RecordFirst(workspace string, instances ...string)
	// Wait waits before the nth retry, counted from 1, or returns an error when it is not allowed.
	Wait(ctx context.Context, workspace string, n int, deadline time.Time, instances ...string) error
}
