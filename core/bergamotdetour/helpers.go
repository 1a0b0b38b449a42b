package bergamotdetour

import (
	"context"
	"slices"
	"sync"
	"time"
)

// How long an entry is not asked again after an answer.
const (
	cutHold    = time.Second
	stopHold   = 5 * time.Second
	silentHold = time.Second
	// minFullHold and maxFullHold apply to an entry that lends no more connections; the hold doubles with each such answer in a row.
	minFullHold = 200 * time.Millisecond
	maxFullHold = time.Second
	// doubtHold is how long an entry is asked after all others that did not reach doubtfulAfter runners in a row: it may have lost its
	// links without knowing it yet.
	doubtHold     = 500 * time.Millisecond
	doubtfulAfter = 2
)

// minOwn is the number of usable entries of the own data centre from which only these are asked. Fewer could not carry the connections
// of all others there.
const minOwn = 3

// TimerClock provides the current time, and signals when a duration has passed.
type TimerClock interface {
	Clock
	After(d time.Duration) <-chan time.Time
}

// Helpers chooses the entries through which this one reaches runners: those of its own data centre first. It draws a few entries from
// all, and keeps those that open connections for others in a pool. It may be used concurrently.
type Helpers struct {
	Clock     TimerClock
	Name      string // of this entry
	Centre    string // data centre of this entry
	Directory Directory
	Random    func(n int) int // returns a number from 0 to n-1; called by one thread at a time
	OnDraw    func(Draw)      // called after each draw, nil for none

	mu       sync.Mutex
	marks    map[string]mark // what entries answered last, by name
	pool     []Helper        // entries that opened connections for others when they were drawn
	leaving  []leavingHelper // entries that are stopping and still help
	hubs     []Branch        // of all data centres, as a hub knew them at the last draw; used by Step only
	tree     tree            // used by Step only
	lacking  bool            // the last draw found no entry that can help
	drawn    bool            // entries have been drawn since the pool is in use
	active   bool            // the pool is in use
	wanted   bool            // it is kept filled even if no helper is asked for
	lastUse  time.Time
	lastDraw time.Time
	nextDraw time.Time
	pause    time.Duration // between the last two draws while there are too few usable entries, otherwise 0
	wake     chan struct{}
	ended    chan struct{} // closed at the end of the next draw, nil if nobody waits for it
}

// mark is an answer because of which an entry is not asked for a while, or after all others.
type mark struct {
	answer Answer
	until  time.Time
	times  int // how often it gave this answer in a row
}

// Next returns the entry to ask next for a connection that must not break for a time, none of those that were asked before; ok is false if
// there is none. An entry that is stopping comes after all that stay.
func (h *Helpers) Next(asked []string, need time.Duration) (next Helper, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.use()
	now := h.Clock.Now()
	var own, all, doubtful []Helper
	for _, e := range h.candidates() {
		switch {
		case slices.Contains(asked, e.name) || h.isHeld(e.name, now):
		case h.isDoubtful(e.name, now):
			doubtful = append(doubtful, e)
		default:
			all = append(all, e)
			if e.centre == h.Centre {
				own = append(own, e)
			}
		}
	}
	if len(own) >= minOwn || !h.drawn && len(own) > 0 {
		all = own
	}
	if len(all) == 0 {
		all = doubtful
	}
	if len(all) == 0 {
		return h.nextLeaving(asked, need)
	}
	return all[h.Random(len(all))], true
}

// Available reports whether there is an entry to ask.
func (h *Helpers) Available() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.use()
	_, leaving := h.nextLeaving(nil, 0)
	return leaving || h.countUsable() > 0
}

// IsSearching reports whether this entry has begun to look for others and none has answered yet.
func (h *Helpers) IsSearching() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.active && !h.drawn && !h.lacking
}

// Lacking reports whether this entry needs helpers and the last draw found none.
func (h *Helpers) Lacking() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.wanted && h.lacking
}

// Wait waits until the draw that is due has ended, for at most a timeout, so that a connection for which no entry is left to ask can use
// what it finds. It returns at once if none is due within the timeout or no other entry is known.
func (h *Helpers) Wait(ctx context.Context, timeout time.Duration) {
	h.mu.Lock()
	isOther := func(b Branch) bool { return b.name != h.Name }
	if h.nextDraw.Sub(h.Clock.Now()) > timeout || !slices.ContainsFunc(h.Directory.Hubs(), isOther) {
		h.mu.Unlock()
		return
	}
	if h.ended == nil {
		h.ended = make(chan struct{})
	}
	ended := h.ended
	h.mu.Unlock()
	select {
	case <-ended:
	case <-h.Clock.After(timeout):
	case <-ctx.Done():
	}
}

// Record records the answer of an entry, and for how long it still helps if it is stopping, 0 if it is not or does not help.
func (h *Helpers) Record(e Helper, a Answer, left time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Clock.Now()
	if left > 0 {
		h.addLeaving([]leavingHelper{{e, now.Add(left)}})
	}
	if left > 0 && (a == AnswerConnected || a == AnswerStopping) {
		return // it may have declined only since the connection is needed for longer
	}
	h.record(e.name, a, now)
	if !h.isHeld(e.name, now) || a == AnswerFull { // one that is full helps again soon
		return
	}
	h.pool = slices.DeleteFunc(h.pool, func(p Helper) bool { return p.name == e.name })
	if soon := h.lastDraw.Add(minPause); h.drawn && h.countUsable() < minUsable && soon.Before(h.nextDraw) {
		h.nextDraw = soon
		h.signal()
	}
}

// record marks an entry after its answer. The caller holds the lock.
func (h *Helpers) record(name string, a Answer, now time.Time) {
	if a.IsNotReached() {
		a = AnswerUnreached
	}
	times := 1
	if m := h.marks[name]; m.answer == a {
		times += m.times
	}
	hold := time.Duration(0)
	switch a {
	case AnswerConnected:
		delete(h.marks, name)
		return
	case AnswerCut, AnswerStale:
		hold = cutHold
	case AnswerStopping:
		hold = stopHold
	case AnswerSilent:
		hold = silentHold
	case AnswerFull:
		hold = h.jitter(min(minFullHold<<min(times-1, 3), maxFullHold))
	case AnswerUnreached:
		hold = doubtHold
	default:
		return // it says nothing about the entry
	}
	h.marks[name] = mark{answer: a, until: now.Add(hold), times: times}
}

// candidates returns the entries of the pool, or the hubs before the first draw. The caller holds the lock.
func (h *Helpers) candidates() (out []Helper) {
	if h.drawn {
		return h.pool
	}
	for _, b := range h.Directory.Hubs() {
		if b.name != h.Name {
			out = append(out, b.Helper)
		}
	}
	return out
}

// countUsable returns how many entries may be asked now. The caller holds the lock.
func (h *Helpers) countUsable() (n int) {
	now := h.Clock.Now()
	for _, e := range h.candidates() {
		if !h.isHeld(e.name, now) {
			n++
		}
	}
	return n
}

// isHeld reports whether an entry is not to be asked yet. The caller holds the lock.
func (h *Helpers) isHeld(name string, now time.Time) bool {
	m, marked := h.marks[name]
	return marked && m.answer != AnswerUnreached && now.Before(m.until)
}

// isDoubtful reports whether an entry is to be asked after all others. The caller holds the lock.
func (h *Helpers) isDoubtful(name string, now time.Time) bool {
	m, marked := h.marks[name]
	return marked && m.answer == AnswerUnreached && m.times >= doubtfulAfter && now.Before(m.until)
}
