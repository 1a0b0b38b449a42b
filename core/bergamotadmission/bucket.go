package bergamotadmission

import (
	"math"
	"time"
)

// bucket is a token bucket for requests whose cost is known only afterwards: a request passes while the balance is
// above zero, and its cost may make the balance negative. x/time/rate does not fit, since it cannot return tokens after
// an overestimate.
type bucket struct {
	balance    float64
	refilledAt time.Time
}

// refill adds what accrued at rate since the last call, up to burst.
func (b *bucket) refill(now time.Time, rate, burst float64) {
	if b.refilledAt.IsZero() {
		b.balance = burst
	} else {
		b.balance = math.Min(b.balance+rate*now.Sub(b.refilledAt).Seconds(), burst)
	}
	b.refilledAt = now
}

// wait returns the time until the balance is above zero, at most an hour.
func (b *bucket) wait(rate float64) time.Duration {
	return time.Duration(math.Min(-b.balance/rate+0.001, 3600) * float64(time.Second))
}
