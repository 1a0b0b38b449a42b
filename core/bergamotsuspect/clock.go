package bergamotsuspect

import "time"

// Clock tells the time.
type Clock interface {
	Now() time.Time
}
