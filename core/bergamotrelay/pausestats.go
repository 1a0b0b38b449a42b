package bergamotrelay

import (
	"sync"
	"time"
)

const (
	// minStallRatio is the share of the route's allowed pause below which a stream never counts as stalled. The rest
	// must suffice for the first event on another path, which takes about 45 ms.
	minStallRatio = 0.55
	// stallMargin is the factor by which a pause must exceed the usual longest pause. In replayed days of traffic at
	// two sites, no stream of healthy runners paused for more than 1.2 times the 99th percentile of the longest pauses.
	stallMargin = 1.2
	// A longer pause raises the estimate by a fifth of the difference and a shorter one lowers it by a hundredth, so
	// that the estimate stays near the 95th percentile.
	estimateRise = 0.2
	estimateFall = 0.01
	// defaultMaxPause is the allowed pause, and the time allowed for the first event, of routes that set none.
	defaultMaxPause = 200 * time.Millisecond
)

// pauseStats estimates the longest pause in streams of healthy runners, or their time to the first event.
type pauseStats struct {
	mu       sync.Mutex
	estimate float64 // estimated longest pause in nanoseconds
}

// observe updates the estimate with the longest pause of a stream that did not stall.
func (p *pauseStats) observe(pause time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	difference := float64(pause) - p.estimate
	if difference > 0 {
		p.estimate += estimateRise * difference
		return
	}
	p.estimate += estimateFall * difference
}

// stallTimeout returns the pause after which a stream counts as stalled on a route that allows pauses up to maxPause.
func (p *pauseStats) stallTimeout(maxPause time.Duration) time.Duration {
	if maxPause <= 0 {
		maxPause = defaultMaxPause
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(time.Duration(minStallRatio*float64(maxPause)), time.Duration(stallMargin*p.estimate))
}
