package bergamotdetour

import (
	"slices"
	"time"
)

// minLeft is the shortest time for which an entry that is stopping is asked for a connection: an answer takes a few milliseconds, and
// what is sent over a connection that ends at once has to be sent again.
const minLeft = 300 * time.Millisecond

// leavingHelper is an entry that is stopping and helps until then. It is asked when none that stays can help.
type leavingHelper struct {
	Helper
	until time.Time
}

// addLeaving records until when entries that are stopping help. They are no part of the pool any more. The caller holds the lock.
func (h *Helpers) addLeaving(list []leavingHelper) {
	now := h.Clock.Now()
	for _, l := range list {
		h.leaving = slices.DeleteFunc(h.leaving, func(o leavingHelper) bool { return o.name == l.name })
		h.pool = slices.DeleteFunc(h.pool, func(p Helper) bool { return p.name == l.name })
		h.leaving = append(h.leaving, l)
	}
	h.leaving = slices.DeleteFunc(h.leaving, func(l leavingHelper) bool { return l.until.Sub(now) < minLeft })
}

// nextLeaving returns the entry that helps longest among those that are stopping, were not asked before, and help for as long as the
// connection is needed. The caller holds the lock.
func (h *Helpers) nextLeaving(asked []string, need time.Duration) (next Helper, ok bool) {
	now := h.Clock.Now()
	longest := max(need, minLeft)
	for _, l := range h.leaving {
		if left := l.until.Sub(now); left >= longest && !slices.Contains(asked, l.name) && !h.isHeld(l.name, now) {
			next, longest, ok = l.Helper, left, true
		}
	}
	return next, ok
}
