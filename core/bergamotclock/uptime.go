package bergamotclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Uptime returns the time since the machine booted, including time during which it was suspended, which the monotonic
// clock does not count; it falls back to the monotonic time since the process started where the system has no such clock.
func (Real) Uptime() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return time.Since(processStart)
	}
	return time.Duration(t.Nano())
}

var processStart = time.Now()
