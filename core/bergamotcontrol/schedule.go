package bergamotcontrol

import (
	"container/heap"
	"time"

	"golang.org/x/time/rate"
)

// Probes in each period of a fleet larger than wholeFleet: at 1 s and 293 B a probe, 5.9 KB/s of the 20 KB/s of a
// node.
const (
	memberProbes = 16         // of runners that traffic may use
	sweepProbes  = 4          // of all others, to learn what they hold
	startProbes  = 24         // of runners of which nothing is known yet, as after a start
	peakProbes   = wholeFleet // of any kind, also when many fail at once
	burstProbes  = 8          // probes above peakProbes in one period
)

// interval is a time between two probes of a runner in periods.
type interval int

const (
	everyPeriod    interval = 1
	failedInterval interval = 30 // a data centre of 620 failed runners then takes 21 probes/s
)

// schedule orders the runners by the time of their next probe and bounds the rate of all probes.
type schedule struct {
	period  time.Duration
	limiter *rate.Limiter
	targets map[string]*target
	queue   queue
}

// target is a runner that is probed.
type target struct {
	name    string
	address string
	due     time.Time
	spread  float64 // from 0 to 1, the runner's place among those added together
	asked   bool    // it has been probed
	misses  int     // failed probes in a row
	index   int     // in the queue
}

func newSchedule(period time.Duration) *schedule {
	return &schedule{
		period: period, targets: map[string]*target{},
		limiter: rate.NewLimiter(rate.Limit(peakProbes/period.Seconds()), peakProbes),
	}
}

// setBurst lets a small fleet be probed all at once.
func (c *schedule) setBurst(now time.Time, small bool) {
	burst := burstProbes
	if small {
		burst = peakProbes
	}
	if c.limiter.Burst() != burst {
		c.limiter.SetBurstAt(now, burst)
	}
}

func (c *schedule) len() int { return len(c.queue) }

// put adds a runner that has not been probed yet, or one that has moved. The runners that are added together
// are spread over the time that startProbes allows by their ranks, in another order for each entry: entries that
// start together would otherwise probe the same runners at the same time.
func (c *schedule) put(now time.Time, name, address string, rank uint64, together int) {
	if t, ok := c.targets[name]; ok {
		t.address = address
		return
	}
	t := &target{name: name, address: address, due: now, spread: float64(rank>>32) / (1 << 32)}
	if together > wholeFleet {
		t.due = now.Add(time.Duration(float64(c.period) * float64(together) / startProbes * t.spread))
	}
	c.targets[name] = t
	heap.Push(&c.queue, t)
}

func (c *schedule) remove(name string) {
	if t, ok := c.targets[name]; ok {
		heap.Remove(&c.queue, t.index)
		delete(c.targets, name)
	}
}

// hasten brings the next probe of a runner forward to at most that many periods from now.
func (c *schedule) hasten(now time.Time, name string, at interval) {
	if t, ok := c.targets[name]; ok && t.due.After(now.Add(time.Duration(at)*c.period)) {
		t.due = now.Add(time.Duration(at) * c.period)
		heap.Fix(&c.queue, t.index)
	}
}

// miss counts a failed probe and returns how many failed in a row.
func (c *schedule) miss(name string) int {
	t, ok := c.targets[name]
	if !ok {
		return 0
	}
	t.misses++
	return t.misses
}

// hit ends a row of failed probes.
func (c *schedule) hit(name string) {
	if t, ok := c.targets[name]; ok {
		t.misses = 0
	}
}

// take returns the runners that are due, as many as the rate allows, and sets their next time.
func (c *schedule) take(now time.Time, after func(name string) interval) (out []*target) {
	for len(c.queue) > 0 && !c.queue[0].due.After(now) && c.limiter.AllowN(now, 1) {
		t := c.queue[0]
		d := time.Duration(after(t.name)) * c.period
		if !t.asked && d > c.period {
			// Runners added together would otherwise stay together in each later round.
			d = c.period + time.Duration(float64(d-c.period)*t.spread)
		}
		t.due, t.asked = now.Add(d), true
		heap.Fix(&c.queue, 0)
		out = append(out, t)
	}
	return out
}

// next returns when take has work again.
func (c *schedule) next(now time.Time) time.Time {
	if len(c.queue) == 0 {
		return now.Add(c.period)
	}
	due := c.queue[0].due
	if lack := 1 - c.limiter.TokensAt(now); lack > 0 {
		if allowed := now.Add(time.Duration(lack / float64(c.limiter.Limit()) * float64(time.Second))); allowed.After(due) {
			return allowed
		}
	}
	return due
}

// queue is a heap of runners, the one due first at the front.
type queue []*target

func (q queue) Len() int           { return len(q) }
func (q queue) Less(a, b int) bool { return q[a].due.Before(q[b].due) }
func (q queue) Swap(a, b int) {
	q[a], q[b] = q[b], q[a]
	q[a].index, q[b].index = a, b
}

// Push adds a *target; only container/heap calls it.
func (q *queue) Push(x any) {
	t := x.(*target)
	t.index = len(*q)
	*q = append(*q, t)
}

// Pop removes the last target; only container/heap calls it.
func (q *queue) Pop() any {
	old := *q
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return t
}
