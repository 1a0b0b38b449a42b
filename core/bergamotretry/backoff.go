package bergamotretry

import "time"

// Backoff gives the wait before a retry, with full jitter: callers that failed together do not retry together.
type Backoff struct {
	Base time.Duration
	Max  time.Duration
	Rand func() float64 // from 0 (included) to 1 (excluded)
}

// Wait returns the wait before the nth retry, from 1: a random part of Base doubled with each retry, up to Max.
func (b *Backoff) Wait(n int) time.Duration {
	top := b.Max
	// The shift is bounded, since a larger one would overflow.
	if d := b.Base << min(max(n-1, 0), 30); d > 0 && d < top {
		top = d
	}
	return time.Duration(b.Rand() * float64(top))
}
