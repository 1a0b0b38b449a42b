package bergamotcontrol

import (
	"container/heap"
	"time"

	"golang.org/x/time/rate"
)

// Probes per period of a fleet larger than maxSmallFleet. With a period of 1 s and 293 B per probe, selectedProbes and
// sweepProbes take 5.9 KB/s out of a node's 20 KB/s for control traffic.
const (
	selectedProbes = 16            // of the runners that traffic may use
	sweepProbes    = 4             // of all other runners, to learn what they hold
	initialProbes  = 24            // first probes of runners added together, as after a start
	maxProbes      = maxSmallFleet // of all kinds, even when many runners fail at once
	maxBurst       = 8             // probes that may be sent at once, in addition to the rate of maxProbes
)

// interval is the time between two probes of a runner, in periods.
type interval int

const (
	everyPeriod    interval = 1
	failedInterval interval = 30 // limits the probes of a data centre of 620 failed runners to 21/s
)

// schedule is a queue of the runners by the time of their next probe, with a limit for the rate of all probes.
type schedule struct {
	period  time.Duration
	limiter *rate.Limiter
	runners map[string]*scheduledRunner
	queue   queue
}

// scheduledRunner is a runner and the state of its probes.
type scheduledRunner struct {
	name     string
	address  string
	due      time.Time
	phase    float64 // from 0 to 1, the position of the runner among those added together
	probed   bool    // whether it has been probed
	failures int     // failed probes in a row
	index    int     // in the queue
}

func newSchedule(period time.Duration) *schedule {
	return &schedule{
		period: period, runners: map[string]*scheduledRunner{},
		limiter: rate.NewLimiter(rate.Limit(maxProbes/period.Seconds()), maxProbes),
	}
}

// setBurst allows probes of all runners of a small fleet at once.
func (c *schedule) setBurst(now time.Time, small bool) {
	burst := maxBurst
	if small {
		burst = maxProbes
	}
	if c.limiter.Burst() != burst {
		c.limiter.SetBurstAt(now, burst)
	}
}

func (c *schedule) len() int { return len(c.queue) }

// put adds a runner or updates its address. The first probes of a batch of runners that are added together are spread
// over time at the rate of initialProbes, ordered by rank. The rank differs between entries; entries that start
// together would otherwise probe the same runners at the same time.
func (c *schedule) put(now time.Time, name, address string, rank uint64, batch int) {
	if r, ok := c.runners[name]; ok {
		r.address = address
		return
	}
	r := &scheduledRunner{name: name, address: address, due: now, phase: float64(rank>>32) / (1 << 32)}
	if batch > maxSmallFleet {
		r.due = now.Add(time.Duration(float64(c.period) * float64(batch) / initialProbes * r.phase))
	}
	c.runners[name] = r
	heap.Push(&c.queue, r)
}

func (c *schedule) remove(name string) {
	if r, ok := c.runners[name]; ok {
		heap.Remove(&c.queue, r.index)
		delete(c.runners, name)
	}
}

// bringForward moves the next probe of a runner to at most the given interval from now.
func (c *schedule) bringForward(now time.Time, name string, within interval) {
	if r, ok := c.runners[name]; ok && r.due.After(now.Add(time.Duration(within)*c.period)) {
		r.due = now.Add(time.Duration(within) * c.period)
		heap.Fix(&c.queue, r.index)
	}
}

// recordFailure counts a failed probe and returns the number of failed probes in a row.
func (c *schedule) recordFailure(name string) int {
	r, ok := c.runners[name]
	if !ok {
		return 0
	}
	r.failures++
	return r.failures
}

// recordSuccess resets the number of failed probes in a row.
func (c *schedule) recordSuccess(name string) {
	if r, ok := c.runners[name]; ok {
		r.failures = 0
	}
}

// takeDue returns the runners that are due, as many as the rate limit allows, and schedules their next probes.
func (c *schedule) takeDue(now time.Time, intervalOf func(name string) interval) (taken []*scheduledRunner) {
	for len(c.queue) > 0 && !c.queue[0].due.After(now) && c.limiter.AllowN(now, 1) {
		r := c.queue[0]
		d := time.Duration(intervalOf(r.name)) * c.period
		if !r.probed && d > c.period {
			// Otherwise the probes of runners added together would coincide in each later round, too.
			d = c.period + time.Duration(float64(d-c.period)*r.phase)
		}
		r.due, r.probed = now.Add(d), true
		heap.Fix(&c.queue, 0)
		taken = append(taken, r)
	}
	return taken
}

// nextDue returns when takeDue next returns a runner.
func (c *schedule) nextDue(now time.Time) time.Time {
	if len(c.queue) == 0 {
		return now.Add(c.period)
	}
	due := c.queue[0].due
	if missing := 1 - c.limiter.TokensAt(now); missing > 0 {
		if allowed := now.Add(time.Duration(missing / float64(c.limiter.Limit()) * float64(time.Second))); allowed.After(due) {
			return allowed
		}
	}
	return due
}

// queue is a heap of runners, with the one due first at the front.
type queue []*scheduledRunner

func (q queue) Len() int           { return len(q) }
func (q queue) Less(a, b int) bool { return q[a].due.Before(q[b].due) }
func (q queue) Swap(a, b int) {
	q[a], q[b] = q[b], q[a]
	q[a].index, q[b].index = a, b
}

// Push adds a *scheduledRunner; only container/heap calls it.
func (q *queue) Push(x any) {
	r := x.(*scheduledRunner)
	r.index = len(*q)
	*q = append(*q, r)
}

// Pop removes the last runner; only container/heap calls it.
func (q *queue) Pop() any {
	old := *q
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return r
}
