package bergamotfilter

import (
	"math"
	"sync"
	"time"
)

// rateTimeConstant is the time in which a measured rate adapts to 63 % of a change.
const rateTimeConstant = 10 * time.Second

// tokenRate is an exponentially decaying average of tokens per second.
type tokenRate struct {
	mu        sync.Mutex
	perSecond float64
	updated   time.Time
}

// addToken counts one token.
func (f *tokenRate) addToken(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.perSecond = f.decayed(now) + 1/rateTimeConstant.Seconds()
	f.updated = now
}

// rate returns the average in tokens per second.
func (f *tokenRate) rate(now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.decayed(now)
}

func (f *tokenRate) decayed(now time.Time) float64 {
	if f.perSecond == 0 {
		return 0
	}
	return f.perSecond * math.Exp(-float64(now.Sub(f.updated))/float64(rateTimeConstant))
}
