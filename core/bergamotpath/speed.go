package bergamotpath

import "time"

const (
	speedWeight = 0.15            // weight of one stream in the mean times of a data centre
	speedLife   = 6 * time.Second // time after which an observation no longer counts; a stream takes some 3 s
)

// speed compares what paths of a data centre promised with what they took.
type speed struct {
	expected float64 // mean cost of the chosen paths in nanoseconds a token
	observed float64 // mean time of an event in nanoseconds, the wait for the first one included
	at       time.Time
}

// factor returns how much longer events take than expected, as a multiple of an arbitrary unit that is the same for
// all data centres; it returns to that of the others when nothing was observed for a while.
func (v *speed) factor(now time.Time) (f float64, ok bool) {
	if v == nil || v.observed == 0 || now.Sub(v.at) > speedLife {
		return 0, false
	}
	return v.observed / v.expected, true
}

// Learn takes the mean time of an event of a stream that ended, the wait for the first event included. Queues at a
// runner, slow runners and slow links show in it before they show anywhere else.
func (r *Router) Learn(centre string, event time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.speeds[centre]
	if v == nil || event <= 0 {
		return
	}
	if now := r.Clock.Now(); v.observed == 0 || now.Sub(v.at) > speedLife {
		v.observed, v.at = float64(event), now
	} else {
		v.observed += speedWeight * (float64(event) - v.observed)
		v.at = now
	}
}

// scale returns the factor on the cost of a data centre: its own, or the mean of the others while nothing is known.
func (r *Router) scale(centre string) float64 {
	now := r.Clock.Now()
	if f, ok := r.speeds[centre].factor(now); ok {
		return f
	}
	sum, n := 0.0, 0.0
	for _, v := range r.speeds {
		if f, ok := v.factor(now); ok {
			sum, n = sum+f, n+1
		}
	}
	if n == 0 {
		return 1
	}
	return sum / n
}

// expect records the cost of a chosen path.
func (r *Router) expect(centre string, cost float64) {
	if r.speeds == nil {
		r.speeds = map[string]*speed{}
	}
	v := r.speeds[centre]
	if v == nil {
		v = &speed{expected: cost}
		r.speeds[centre] = v
	}
	v.expected += speedWeight * (cost - v.expected)
}
