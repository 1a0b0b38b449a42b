package bergamotretry

import "time"

// Backoff computes the delay before a retry. Full jitter keeps callers that failed together from retrying together.
type Backoff struct {
	Base time.Duration  // upper bound of the first delay
	Max  time.Duration  // upper bound of all delays
	Rand func() float64 // returns a random number in [0, 1)
}

// Delay returns the delay before the nth retry, counted from 1: a random share of Base doubled for each earlier retry, at
// most Max.
func (b *Backoff) Delay(n int) time.Duration {
	ceiling := b.Max
	// A larger shift would overflow.
	if d := b.Base << min(max(n-1, 0), 30); d > 0 && d < ceiling {
		ceiling = d
	}
	return time.Duration(b.Rand() * float64(ceiling))
}
