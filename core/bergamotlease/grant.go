package bergamotlease

import "time"

// Grant is a lease as its holder sees it; the zero value is no lease.
type Grant struct {
	number int64
	since  time.Time
	until  time.Time
}

// Number returns the fencing number, from 1.
func (g Grant) Number() int64 { return g.number }

// Since returns when this holder acquired the lease, by its own clock.
func (g Grant) Since() time.Time { return g.since }

// Valid tells whether the holder may still give commands at a time of its own clock. It must be asked right before
// each command, since the holder may have been paused since the last one.
func (g Grant) Valid(now time.Time) bool { return g.number > 0 && now.Before(g.until) }
