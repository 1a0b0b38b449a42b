package bergamotsession

import "context"

// TokenStream is an open stream from the last stage of an attempt.
type TokenStream interface {
	// Next waits for the next step. A *StageError names the instance address that failed.
	Next(ctx context.Context) (Step, error)
	Close() error
}
