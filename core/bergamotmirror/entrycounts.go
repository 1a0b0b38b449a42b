package bergamotmirror

import "time"

// entryCounts holds the counts of the last entriesTTL to at most twice that time.
type entryCounts struct {
	windowStart time.Duration
	current     int // largest count since windowStart
	previous    int // largest count of the window before
}

// observe records a count.
func (c *entryCounts) observe(now time.Duration, n int) {
	c.advance(now)
	c.current = max(c.current, n)
}

// max returns the largest recent count, 0 before the first.
func (c *entryCounts) max(now time.Duration) int {
	c.advance(now)
	return max(c.current, c.previous)
}

// advance opens a new window when the current one has ended. A window without counts keeps the last one.
func (c *entryCounts) advance(now time.Duration) {
	if now-c.windowStart >= entriesTTL && c.current > 0 {
		c.windowStart, c.previous, c.current = now, c.current, 0
	}
}
