package bergamotsession

import (
	"context"
	"time"
)

// Retries limits the attempts after the first retry of an answer.
type Retries interface {
	// First counts the first attempt of an answer.
	First(workspace string, instances ...string)
	// Next waits before the nth retry, counted from 1, or returns an error when it is not allowed.
	Next(ctx context.Context, workspace string, n int, deadline time.Time, instances ...string) error
}
