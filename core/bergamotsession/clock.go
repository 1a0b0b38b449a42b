package bergamotsession

import "time"

// Clock returns the current time and wakes the watchdog of a stream.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}
