package bergamotstore

import "errors"

var (
	// ErrNotFound is returned when an object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrRejected is returned when the service replied that a write did not take effect. After any other error the
	// write may have taken effect.
	ErrRejected = errors.New("write rejected")
)
