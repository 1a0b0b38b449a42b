package bergamotaccount

import "time"

const (
	// StallGrace is the time without progress after which a head or body is evicted before others.
	StallGrace = time.Second
	// MinRate is the rate in bytes per second below which a body is evicted before faster ones.
	MinRate = 16 << 10
	// RateGrace is the time after which the rate of a body is measured.
	RateGrace = 2 * time.Second
	// SmallHolder is the size in bytes below which a holder is evicted only when nothing larger is left, so that ordinary
	// small requests find memory.
	SmallHolder = 16 << 10
)

// choose returns the position of the holder to evict next for a holder of kind requester that grows, and why; -1 if none can
// be evicted.
func choose(states []holderState, now time.Duration, requester Kind) (index int, cause Cause) {
	if index = longestIdle(states); index >= 0 {
		return index, CauseIdle
	}
	for _, small := range []bool{false, true} {
		var c candidates
		c.reset()
		for i := range states {
			if s := &states[i]; s.size > 0 && s.isSmall() == small && s.isEvictable(requester) {
				c.add(states, i, now)
			}
		}
		switch {
		case c.stalled >= 0:
			return c.stalled, CauseStalled
		case c.slow >= 0:
			return c.slow, CauseSlow
		case c.largest >= 0:
			return c.largest, CauseLargest
		}
	}
	return -1, ""
}

func longestIdle(states []holderState) (index int) {
	index = -1
	for i := range states {
		if s := &states[i]; s.mode == modeIdle && s.size > 0 && (index < 0 || s.progress < states[index].progress) {
			index = i
		}
	}
	return index
}

// isEvictable reports whether the holder may be evicted for one of kind requester.
func (s *holderState) isEvictable(requester Kind) bool {
	return s.mode != modeHeld || s.kind == KindAnswer && requester == KindAnswer
}

// candidates holds the position of the first holder to evict by each rule, -1 for none.
type candidates struct {
	stalled  int
	slow     int
	slowRate float64
	largest  int
}

func (c *candidates) reset() { c.stalled, c.slow, c.largest = -1, -1, -1 }

// add considers the holder at a position.
func (c *candidates) add(states []holderState, i int, now time.Duration) {
	s := &states[i]
	if s.kind == KindBody || s.kind == KindHead {
		if now-s.progress > StallGrace && (c.stalled < 0 || s.progress < states[c.stalled].progress) {
			c.stalled = i
		}
	}
	if age := now - s.began; s.kind == KindBody && age >= RateGrace {
		if rate := float64(s.arrived) / age.Seconds(); rate < MinRate && (c.slow < 0 || rate < c.slowRate) {
			c.slow, c.slowRate = i, rate
		}
	}
	if c.largest < 0 {
		c.largest = i
		return
	}
	l := &states[c.largest]
	if s.owner.total > l.owner.total || s.owner.total == l.owner.total && s.size > l.size {
		c.largest = i
	}
}
