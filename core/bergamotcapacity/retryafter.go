package bergamotcapacity

import "time"

// RetryAfter returns when the caller of a refused request should return: when there is expected to be room for its priority
// and size, after the others that were told to return before, spread over the following time so that they do not return at
// once. left is the time that the caller has left, and random a number from 0 to 1.
func (a *Admission) RetryAfter(now time.Time, d Decision, left time.Duration, random float64) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := d.request.Priority
	longest := max(time.Duration(a.thresholds.RetryShare*float64(left)), 0)
	shortest := min(a.thresholds.MinRetryAfter, longest)
	a.ends.decay(now)
	// Capacity that more urgent requests leave of what running ones release.
	perSecond := a.ends.perSecond[0] - a.arrivals.moreUrgent(now, p)
	delay := longest
	if needed := min(d.request.Tokens, maxTokens) + d.reserve - a.balance; perSecond > 0 && d.reason != ReasonSize {
		delay = min(seconds(max(needed, 0)/perSecond), longest)
		start := now.Add(delay)
		for _, t := range a.returns[:p+1] {
			if t.After(start) {
				start = t
			}
		}
		delay = min(start.Sub(now), longest)
		a.returns[p] = now.Add(delay + min(seconds(d.request.Tokens/perSecond), longest))
	}
	if delay >= longest {
		// All that have to wait longer than they can return in the later half of the time that they have.
		delay = longest / 2
		return max(delay+time.Duration(random*float64(longest-delay)), shortest)
	}
	delay = max(delay, shortest)
	spread := min(max(delay/2, a.thresholds.MinRetryAfter), longest-delay)
	return delay + time.Duration(random*float64(spread))
}

// seconds returns s seconds, at most an hour.
func seconds(s float64) time.Duration { return time.Duration(min(s, 3600) * float64(time.Second)) }
