package bergamotclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Suspended returns the time of a clock that also counts while the machine is suspended, which the monotonic clock
// does not. It falls back to the monotonic clock where the system has no such clock.
func (Real) Suspended() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return time.Since(processStart)
	}
	return time.Duration(t.Nano())
}

var processStart = time.Now()
