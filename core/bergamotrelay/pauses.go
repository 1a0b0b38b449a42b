package bergamotrelay

import (
	"sync"
	"time"
)

const (
	// pauseShare is the part of the pause that a route allows below which a stream is never taken for stalled. The rest
	// must suffice for the first event at another path, which takes some 45 ms.
	pauseShare = 0.55
	// pauseMargin is how much longer than usual a pause must be. In played days of two sites no stream of healthy
	// runners paused for more than 1.2 times the 99th percentile of the longest pauses.
	pauseMargin = 1.2
	// A longer pause raises the estimate by a fifth of the difference, a shorter one lowers it by a hundredth, so that
	// it stays near the 95th percentile.
	pauseRise = 0.2
	pauseFall = 0.01
	// pauseDefault is the allowed pause where a route names none.
	pauseDefault = 200 * time.Millisecond
)

// pauses learns how long streams of healthy runners pause at most.
type pauses struct {
	mu   sync.Mutex
	high float64 // nanoseconds
}

// learn takes the longest pause of a stream that did not stall.
func (p *pauses) learn(pause time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	difference := float64(pause) - p.high
	if difference > 0 {
		p.high += pauseRise * difference
		return
	}
	p.high += pauseFall * difference
}

// limit returns the pause after which a stream counts as stalled, for a route that allows a pause.
func (p *pauses) limit(allowed time.Duration) time.Duration {
	if allowed <= 0 {
		allowed = pauseDefault
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(time.Duration(pauseShare*float64(allowed)), time.Duration(pauseMargin*p.high))
}
