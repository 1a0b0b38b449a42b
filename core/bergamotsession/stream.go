package bergamotsession

import "context"

// TokenStream is an open stream from the last stage of an attempt.
type TokenStream interface {
	// Next waits for the next step. It returns a *StageError when the failed instance is known.
	Next(ctx context.Context) (Step, error)
	Close() error
}
