package bergamotsession

// StageError names the instance of an attempt that failed.
type StageError struct {
	address string
	err     error
}

// NewStageError returns an error that names the address of the failed instance.
func NewStageError(address string, err error) *StageError {
	return &StageError{address: address, err: err}
}

// Error returns the address and the cause.
func (e *StageError) Error() string { return e.address + ": " + e.err.Error() }

// Unwrap returns the cause.
func (e *StageError) Unwrap() error { return e.err }

// Address returns host and port of the failed instance.
func (e *StageError) Address() string { return e.address }
