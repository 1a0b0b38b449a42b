package bergamotclock

import (
	"sync"
	"time"
)

// maxRemoteDrift is the assumed maximum difference in rate between two monotonic clocks; oscillators of servers stay within
// 100 parts per million.
const maxRemoteDrift = 200e-6

// maxAnswerAge is how long an answer with a shorter round trip is preferred to newer ones; by then drift has moved its
// bounds 24 ms apart.
const maxAnswerAge = time.Minute

// Remote estimates the monotonic clock of another machine from the timestamps in its answers. All local times must come
// from a clock that also counts while the machine is suspended.
type Remote struct {
	mu       sync.Mutex
	known    bool          // an answer was observed
	sent     time.Duration // local time at which the request of that answer was sent
	received time.Duration // local time at which the answer was received
	at       time.Duration // remote time in the answer
}

// Observe records the remote time at in an answer, and the local times at which its request was sent and the answer was
// received.
func (r *Remote) Observe(sent, received, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// The longer the round trip, the less an answer says about the remote time. One with a short round trip is therefore
	// kept until drift makes its bounds as wide.
	if at <= 0 || r.known && received-sent > r.received-r.sent && received-r.received < maxAnswerAge {
		return
	}
	r.known, r.sent, r.received, r.at = true, sent, received, at
}

// Bounds returns the earliest and latest time that the remote clock can show at a local time; ok is false before the first
// answer.
func (r *Remote) Bounds(now time.Duration) (earliest, latest time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	drift := func(d time.Duration) time.Duration { return time.Duration(maxRemoteDrift * float64(d)) }
	earliest, latest = now-r.received, now-r.sent
	return r.at + earliest - drift(earliest), r.at + latest + drift(latest) + time.Millisecond, r.known
}
