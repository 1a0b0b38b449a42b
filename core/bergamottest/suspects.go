package bergamottest

// NoSuspects is a register of suspect prompts that stays empty.
type NoSuspects struct{}

// Suspect returns false.
func (NoSuspects) Suspect([32]byte) bool { return false }

// Confirmed returns false.
func (NoSuspects) Confirmed([32]byte) bool { return false }

// Strike records nothing.
func (NoSuspects) Strike([32]byte, string, bool) {}

// Clear has nothing to remove.
func (NoSuspects) Clear([32]byte) {}
