package bergamotcapacity

import (
	"math"
	"time"
)

const priorities = 10 // number of priorities; 0 is the most urgent

// rates holds moving averages of tokens per second by priority, in which a token counts for exp(-age/window).
type rates struct {
	window    time.Duration
	perSecond [priorities]float64
	updated   time.Time
}

// add counts tokens of a priority.
func (r *rates) add(now time.Time, priority int, tokens float64) {
	r.decay(now)
	r.perSecond[priority] += tokens / r.window.Seconds()
}

// moreUrgent returns the tokens per second of all priorities that are more urgent than the given one.
func (r *rates) moreUrgent(now time.Time, priority int) (sum float64) {
	r.decay(now)
	for _, v := range r.perSecond[:priority] {
		sum += v
	}
	return sum
}

// decay lowers the averages to a time.
func (r *rates) decay(now time.Time) {
	elapsed := now.Sub(r.updated)
	if elapsed <= 0 {
		return
	}
	r.updated = now
	f := math.Exp(-float64(elapsed) / float64(r.window))
	for i := range r.perSecond {
		r.perSecond[i] *= f
	}
}
