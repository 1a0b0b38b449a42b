package bergamotclock

import (
	"sync"
	"time"
)

// Virtual is a clock for tests that moves only when it is advanced.
type Virtual struct {
	mu     sync.Mutex
	now    time.Time
	timers []timer
}

// timer is a channel that After returned and the time at which it fires.
type timer struct {
	at time.Time
	ch chan time.Time
}

// NewVirtual returns a virtual clock that shows start.
func NewVirtual(start time.Time) *Virtual { return &Virtual{now: start} }

// Now returns the virtual time.
func (v *Virtual) Now() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.now
}

// After returns a channel that receives the time once the clock has advanced by d.
func (v *Virtual) After(d time.Duration) <-chan time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	ch := make(chan time.Time, 1)
	if d <= 0 {
		ch <- v.now
		return ch
	}
	v.timers = append(v.timers, timer{at: v.now.Add(d), ch: ch})
	return ch
}

// Advance moves the clock forward by d and fires the timers that are due.
func (v *Virtual) Advance(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.now = v.now.Add(d)
	var pending []timer
	for _, t := range v.timers {
		if t.at.After(v.now) {
			pending = append(pending, t)
			continue
		}
		t.ch <- v.now
	}
	v.timers = pending
}

// PendingTimers returns how many timers have not fired yet.
func (v *Virtual) PendingTimers() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.timers)
}
