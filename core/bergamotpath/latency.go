package bergamotpath

import "time"

const (
	latencyWeight = 0.15            // weight of one stream in the moving averages of a data centre
	latencyTTL    = 6 * time.Second // age at which observations expire; a stream takes about 3 s
)

// latency compares the expected cost of the paths of a data centre with the observed time of their streams.
type latency struct {
	expected float64 // moving average of the costs of the selected paths, in nanoseconds per token
	observed float64 // moving average of the time per event in nanoseconds, including the wait for the first event
	at       time.Time
}

// ratio returns the observed time divided by the expected cost. Events and tokens differ in size, so that the ratio is
// only comparable between data centres. ok is false if there is no recent observation.
func (v *latency) ratio(now time.Time) (f float64, ok bool) {
	if v == nil || v.observed == 0 || now.Sub(v.at) > latencyTTL {
		return 0, false
	}
	return v.observed / v.expected, true
}

// RecordEventTime records the mean time per event of a finished stream in a data centre, including the wait for the first
// event. Queues on a runner, slow runners and slow links show up in this time before they show up anywhere else.
func (r *Router) RecordEventTime(centre string, event time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.latencies[centre]
	if v == nil || event <= 0 {
		return
	}
	if now := r.Clock.Now(); v.observed == 0 || now.Sub(v.at) > latencyTTL {
		v.observed, v.at = float64(event), now
	} else {
		v.observed += latencyWeight * (float64(event) - v.observed)
		v.at = now
	}
}

// costFactor returns the factor by which the cost of paths in a data centre is scaled: its latency ratio, or the mean ratio
// of the other data centres if it has none.
func (r *Router) costFactor(centre string) float64 {
	now := r.Clock.Now()
	if f, ok := r.latencies[centre].ratio(now); ok {
		return f
	}
	sum, n := 0.0, 0.0
	for _, v := range r.latencies {
		if f, ok := v.ratio(now); ok {
			sum, n = sum+f, n+1
		}
	}
	if n == 0 {
		return 1
	}
	return sum / n
}

// recordExpected records the cost of a selected path.
func (r *Router) recordExpected(centre string, cost float64) {
	if r.latencies == nil {
		r.latencies = map[string]*latency{}
	}
	v := r.latencies[centre]
	if v == nil {
		v = &latency{expected: cost}
		r.latencies[centre] = v
	}
	v.expected += latencyWeight * (cost - v.expected)
}
