package bergamotclock

import (
	"sync"
	"time"
)

// remoteDrift is the part by which two steady clocks may differ in their speed; oscillators of servers stay within 100
// parts in a million.
const remoteDrift = 200e-6

// remoteLife is the time for which a narrow answer is kept; by then its bounds have drifted 24 ms apart.
const remoteLife = time.Minute

// Remote bounds the steady clock of another machine from the times that its answers carry. Times of this machine are
// those of a clock that counts suspended time.
type Remote struct {
	mu       sync.Mutex
	known    bool
	sent     time.Duration // of the question with the last answer
	received time.Duration
	at       time.Duration // of the remote clock when it was answered
}

// Observe takes the time of an answer and when its question was sent and the answer was received.
func (r *Remote) Observe(sent, received, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// An answer that waited for something says little about the time; a narrow one is kept until drift makes it as wide.
	if at <= 0 || r.known && received-sent > r.received-r.sent && received-r.received < remoteLife {
		return
	}
	r.known, r.sent, r.received, r.at = true, sent, received, at
}

// Bounds returns the times between which the remote clock is at a time of this machine; ok is false before the first
// answer.
func (r *Remote) Bounds(now time.Duration) (least, most time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	drift := func(d time.Duration) time.Duration { return time.Duration(remoteDrift * float64(d)) }
	least, most = now-r.received, now-r.sent
	return r.at + least - drift(least), r.at + most + drift(most) + time.Millisecond, r.known
}
