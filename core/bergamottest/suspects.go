package bergamottest

// NoSuspects attributes no failure to a request.
type NoSuspects struct{}

// IsSuspect returns false.
func (NoSuspects) IsSuspect([32]byte) bool { return false }

// IsConfirmed returns false.
func (NoSuspects) IsConfirmed([32]byte) bool { return false }

// RecordFailure records nothing.
func (NoSuspects) RecordFailure([32]byte, string, bool) {}

// Clear has nothing to remove.
func (NoSuspects) Clear([32]byte) {}
