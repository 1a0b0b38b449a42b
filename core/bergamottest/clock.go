package bergamottest

import "time"

// InstantClock is a clock whose timers fire at once.
type InstantClock struct{}

// After returns a channel that has received a time.
func (InstantClock) After(time.Duration) <-chan time.Time {
	ch := make(chan time.Time, 1)
	ch <- time.Time{}
	return ch
}
