package bergamotsession

import "time"

// Clock tells the time and wakes the watch of a stream.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}
