package bergamotlimit

import "time"

// deadline returns the deadline that is set in place of t, which net/http has computed with the times of the server. The caller
// holds the lock.
func (c *Conn) deadline(t time.Time) time.Time {
	timeout := int64(0)
	switch {
	case c.isIdle():
		timeout = c.listener.idleTimeout.Load()
	case c.phase < phaseActive:
		timeout = c.listener.headerTimeout.Load()
	}
	if timeout > 0 {
		t = c.listener.Clock.Now().Add(time.Duration(timeout))
	}
	if c.isIdle() {
		c.idleBy = t
	}
	return t
}

// isIdle reports whether the connection waits for the first byte of another request: net/http has set one deadline since it
// answered, and sets the next one when that byte has arrived. The caller holds the lock.
func (c *Conn) isIdle() bool { return c.phase == phaseIdle && c.deadlines == 1 }

// extendIdle lets the connection be idle for a longer time, if it is idle.
func (c *Conn) extendIdle(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if by := c.since.Add(timeout); c.isIdle() && c.cause == "" && by.After(c.idleBy) {
		c.idleBy = by
		_ = c.Conn.SetReadDeadline(by) // a closed connection needs none
	}
}
