package bergamotlease

import "time"

// Grant is the state of a lease as its holder knows it; the zero value means that the lease is not held.
type Grant struct {
	fencingToken int64
	acquiredAt   time.Time
	expiresAt    time.Time
}

// FencingToken returns the number, from 1, that rises with each acquisition; targets that check it reject commands with a
// lower one.
func (g Grant) FencingToken() int64 { return g.fencingToken }

// AcquiredAt returns when this holder acquired the lease, by its own clock.
func (g Grant) AcquiredAt() time.Time { return g.acquiredAt }

// Valid reports whether the holder may still give commands at a time of its own clock. It must be called right before
// each command, since the process may have been paused since the last one.
func (g Grant) Valid(now time.Time) bool { return g.fencingToken > 0 && now.Before(g.expiresAt) }
