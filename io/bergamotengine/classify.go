package bergamotengine

import (
	"errors"
	"fmt"
	"net/http"
	"syscall"

	"bergamotspur/core/bergamotsession"
	"bergamotspur/io/bergamotwire"
)

// StatusLeaving is the status with which an engine that is leaving refuses a new span.
const StatusLeaving = http.StatusGone

// classify adds the cause that the session core knows to the chain of an error.
func classify(err error) error {
	var status *bergamotwire.StatusError
	switch {
	case err == nil:
		return nil
	case errors.Is(err, syscall.ECONNREFUSED):
		return fmt.Errorf("%w: %w", bergamotsession.ErrConnectionRefused, err)
	case errors.As(err, &status):
		return refusal(status.Status(), err)
	default:
		return err
	}
}

func refusal(status int, err error) error {
	switch status {
	case StatusLeaving:
		return fmt.Errorf("%w: %w", bergamotsession.ErrLeaving, err)
	case http.StatusConflict, http.StatusNotFound:
		return fmt.Errorf("%w: %w", bergamotsession.ErrSpanRejected, err)
	default:
		return err
	}
}
