package bergamotmirror

import (
	"sync"
	"time"
)

// offsetWindow is how long one window of reads lasts; reads from before the previous window are ignored. At a drift of
// 50 ppm, two clocks diverge by 30 ms in two windows.
const offsetWindow = 5 * time.Minute

// clockOffset estimates how far this machine's clock that counts suspended time is ahead of the store's monotonic clock.
// It converts the store's time in an answer to the time of that clock. Without it, a read that waits for changes would
// only confirm that the state was current when the read was started.
type clockOffset struct {
	mu            sync.Mutex
	windowStart   time.Duration // when the current window was opened
	minOffset     time.Duration // lower bound of the offset from the reads of the current window
	prevMinOffset time.Duration // the same for the previous window
	known         bool
}

// earliestAnswer returns the earliest time, on this machine's clock, at which the store can have answered a read that
// was started at readStart and whose answer carries storeTime. The store answers after the start of the read, so the
// offset is at least readStart - storeTime; reads that are answered at once give the tightest bound.
func (c *clockOffset) earliestAnswer(readStart, storeTime time.Duration) time.Duration {
	if storeTime <= 0 {
		return readStart
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	difference := readStart - storeTime
	switch {
	case !c.known:
		c.windowStart, c.minOffset, c.prevMinOffset, c.known = readStart, difference, difference, true
	case readStart-c.windowStart >= offsetWindow:
		c.windowStart, c.prevMinOffset, c.minOffset = readStart, c.minOffset, difference
	default:
		c.minOffset = max(c.minOffset, difference)
	}
	return max(readStart, storeTime+max(c.minOffset, c.prevMinOffset))
}

// localTime returns the earliest time of this machine's clock at which the store's clock can have shown storeTime; ok is
// false before the first answer of the store itself. An answer that another entry passed on may be older than the call
// that returned it, so that it gives no bound of its own.
func (c *clockOffset) localTime(storeTime time.Duration) (t time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return storeTime + max(c.minOffset, c.prevMinOffset), c.known && storeTime > 0
}
