package bergamottest

// NoCounter counts nothing.
type NoCounter struct{}

// Count ignores the event.
func (NoCounter) Count(string) {}
