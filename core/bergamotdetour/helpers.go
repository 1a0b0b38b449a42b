package bergamotdetour

import (
	"slices"
	"sync"
	"time"
)

// How long an entry is not asked again after an answer.
const (
	cutHold    = time.Second
	fullHold   = 200 * time.Millisecond
	stopHold   = 5 * time.Second
	silentHold = time.Second
	// doubtHold is the same after an answer that says more about the runner than about the helper.
	doubtHold = 0
)

// Directory names the entries that may help.
type Directory interface {
	// Hubs returns the hubs of all data centres, except this entry.
	Hubs() []Helper
}

// Helpers chooses the entries through which this one reaches runners: those of its own data centre first. It may be used
// concurrently.
type Helpers struct {
	Clock     Clock
	Centre    string // data centre of this entry
	Directory Directory
	Random    func(n int) int // returns a number from 0 to n-1

	mu    sync.Mutex
	until map[string]time.Time // when an entry may be asked again, by name
}

// Next returns the entry to ask next, none of those that were asked before; ok is false if there is none.
func (h *Helpers) Next(asked []string) (next Helper, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var own, others []Helper
	for _, e := range h.Directory.Hubs() {
		if slices.Contains(asked, e.name) || h.isHeld(e.name) {
			continue
		}
		if e.centre == h.Centre {
			own = append(own, e)
		} else {
			others = append(others, e)
		}
	}
	if len(own) == 0 {
		own = others
	}
	if len(own) == 0 {
		return next, false
	}
	return own[h.Random(len(own))], true
}

// Available reports whether there is an entry to ask.
func (h *Helpers) Available() bool {
	_, ok := h.Next(nil)
	return ok
}

// Record records the answer of an entry.
func (h *Helpers) Record(e Helper, a Answer) {
	hold := time.Duration(doubtHold)
	switch a {
	case AnswerCut, AnswerStale:
		hold = cutHold
	case AnswerFull:
		hold = fullHold
	case AnswerStopping:
		hold = stopHold
	case AnswerSilent:
		hold = silentHold
	default:
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.until == nil {
		h.until = map[string]time.Time{}
	}
	if hold > 0 {
		h.until[e.name] = h.Clock.Now().Add(hold)
	}
}

// isHeld reports whether an entry is not to be asked yet. The caller holds the lock.
func (h *Helpers) isHeld(name string) bool {
	t, known := h.until[name]
	if known && !h.Clock.Now().Before(t) {
		delete(h.until, name)
		return false
	}
	return known
}
