package bergamotretry

import (
	"sync"
	"time"
)

// registrationTTL is how long after a registration a hub lends. The registration counts for 9 s in the store, so that a hub
// which cannot reach the store has stopped before others count its entries as theirs.
const registrationTTL = 8 * time.Second

// Share is the part of the retries to lend that this entry lends as a hub. It follows the registrations in the store, which
// assign each entry to one hub: entries that try one hub after the other would count at each of them. A loss counts at once,
// and a gain only after registrationTTL and a window, when what the hub that had the part before has lent no longer counts, so that the parts of all hubs
// never add up to more than the whole in a window.
type Share struct {
	Clock   Clock
	Window  time.Duration // of the budget
	Started time.Time     // start of the process if an earlier one may have lent, otherwise zero

	mu      sync.Mutex
	history []registration // oldest first
}

// registration is the part that a hub had when it registered.
type registration struct {
	at   time.Time
	part float64
}

// Observe records the part, from 0 to 1, that this entry has by a registration. If settled is set, no other hub can have lent
// the first one.
func (s *Share) Observe(part float64, settled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	if len(s.history) == 0 && !settled {
		s.history = append(s.history, registration{at: now})
	}
	s.history = append(s.history, registration{at: now, part: part})
}

// Part returns the part that this entry lends now.
func (s *Share) Part() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	for len(s.history) > 1 && now.Sub(s.history[1].at) >= s.Window+registrationTTL { // the first one kept was in force at that time
		s.history = s.history[1:]
	}
	n := len(s.history)
	if n == 0 || now.Sub(s.history[n-1].at) >= registrationTTL || now.Sub(s.Started) < s.Window {
		return 0
	}
	part := s.history[0].part
	for _, r := range s.history {
		part = min(part, r.part)
	}
	return part
}
