package bergamotsession

import (
	"errors"

	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamotretry"
)

// Causes that an engine adapter wraps in its errors.
var (
	ErrConnectionRefused = errors.New("the instance refused the connection")
	ErrLeaving           = errors.New("the instance is leaving")
	ErrSpanRejected      = errors.New("the instance does not accept or know the span")
)

var (
	errStall   = errors.New("no token within the stall limit")
	errSilence = errors.New("no message on the connection within the silence limit")
)

// proofError marks a token that failed verification.
type proofError struct{ error }

// callerError marks an error of the sink, which no longer takes tokens.
type callerError struct{ error }

// importError marks an attempt that failed because KV cache could not be imported.
type importError struct{ error }

func (e importError) Unwrap() error { return e.error }

func reasonOf(err error) bergamotrequest.Reason {
	var proof proofError
	switch {
	case errors.As(err, &proof):
		return bergamotrequest.ReasonProof
	case errors.Is(err, bergamotretry.ErrBudget):
		return bergamotrequest.ReasonBudget
	case errors.Is(err, bergamotretry.ErrDeadline):
		return bergamotrequest.ReasonDeadline
	case errors.Is(err, errStall), errors.Is(err, errSilence):
		return bergamotrequest.ReasonStall
	default:
		return bergamotrequest.ReasonTarget
	}
}
