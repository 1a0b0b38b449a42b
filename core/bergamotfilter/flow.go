package bergamotfilter

import (
	"math"
	"sync"
	"time"
)

// flowTime is the time in which a measured rate follows a change to 63 %.
const flowTime = 10 * time.Second

// flow measures a rate of tokens.
type flow struct {
	mu    sync.Mutex
	value float64
	at    time.Time
}

// add counts one token.
func (f *flow) add(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.value = f.faded(now) + 1/flowTime.Seconds()
	f.at = now
}

// rate returns the tokens a second.
func (f *flow) rate(now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faded(now)
}

func (f *flow) faded(now time.Time) float64 {
	if f.value == 0 {
		return 0
	}
	return f.value * math.Exp(-float64(now.Sub(f.at))/float64(flowTime))
}
