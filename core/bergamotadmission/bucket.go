package bergamotadmission

import (
	"math"
	"time"
)

// bucket limits a rate whose cost is known only afterwards: a request passes while the balance is above zero, and
// its cost may take the balance below. x/time/rate cannot return tokens that were estimated too high.
type bucket struct {
	balance float64
	at      time.Time
}

// refill adds what the rate allows since the last call, up to burst.
func (b *bucket) refill(now time.Time, rate, burst float64) {
	if b.at.IsZero() {
		b.balance = burst
	} else {
		b.balance = math.Min(b.balance+rate*now.Sub(b.at).Seconds(), burst)
	}
	b.at = now
}

// wait returns how long it takes until the balance is above zero.
func (b *bucket) wait(rate float64) time.Duration {
	return time.Duration(math.Min(-b.balance/rate+0.001, 3600) * float64(time.Second))
}
