package bergamotcluster

import "time"

// clockWindow is the time after which an old comparison of the clocks no longer counts: two clocks that differ by 50
// parts in a million part by 30 ms in two windows.
const clockWindow = 5 * time.Minute

// storeClock tells when the store answered, on this machine's clock that counts suspended time, from the store's own steady
// clock. A read that waits for changes would otherwise confirm only what was current when it began.
type storeClock struct {
	began  time.Duration // of the current window
	bound  time.Duration // least difference between the clocks that the reads of the window allow
	before time.Duration // the same for the window before
	known  bool
}

// answered returns a time before which the store did not give an answer that carries at, to a read that began at began.
// The store answered after the read began, so that the clocks differ by at least began - at; the largest such
// difference comes from reads that were answered at once.
func (c *storeClock) answered(began, at time.Duration) time.Duration {
	if at <= 0 {
		return began
	}
	difference := began - at
	switch {
	case !c.known:
		*c = storeClock{began: began, bound: difference, before: difference, known: true}
	case began-c.began >= clockWindow:
		c.began, c.before, c.bound = began, c.bound, difference
	default:
		c.bound = max(c.bound, difference)
	}
	return max(began, at+max(c.bound, c.before))
}
