package bergamotclock

import "time"

// Real is the system clock.
type Real struct{}

// Now returns the current time with its monotonic reading.
func (Real) Now() time.Time { return time.Now() }

// After returns a channel that receives the time once d has passed.
func (Real) After(d time.Duration) <-chan time.Time { return time.After(d) }
