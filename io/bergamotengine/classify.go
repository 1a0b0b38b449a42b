package bergamotengine

import (
	"errors"
	"fmt"
	"net/http"
	"syscall"

	"bergamotspur/core/bergamotsession"
	"bergamotspur/io/bergamotwire"
)

// StatusLeaving is the HTTP status with which an engine that is leaving rejects a new span.
const StatusLeaving = http.StatusGone

// classify wraps err in the error of bergamotsession that describes its cause, if there is one.
func classify(err error) error {
	var status *bergamotwire.StatusError
	switch {
	case err == nil:
		return nil
	case errors.Is(err, syscall.ECONNREFUSED):
		return fmt.Errorf("%w: %w", bergamotsession.ErrConnectionRefused, err)
	case errors.As(err, &status):
		return classifyStatus(status.Status(), err)
	default:
		return err
	}
}

// classifyStatus wraps err in the error of bergamotsession that the status of a reply stands for, if there is one.
func classifyStatus(status int, err error) error {
	switch status {
	case StatusLeaving:
		return fmt.Errorf("%w: %w", bergamotsession.ErrLeaving, err)
	case http.StatusConflict, http.StatusNotFound:
		return fmt.Errorf("%w: %w", bergamotsession.ErrSpanRejected, err)
	default:
		return err
	}
}
