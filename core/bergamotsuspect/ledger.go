package bergamotsuspect

import (
	"sync"
	"time"
)

// Ledger records which contents are suspected or confirmed to make targets fail. It belongs to the traffic side and has
// its own lock: a suspect must be known before its next dispatch, and a view is published too late for that.
type Ledger struct {
	Clock           Clock
	DuplicateWindow time.Duration // reports of failures of one instance within this time count as one failure
	MaxAge          time.Duration // time after the last failure at which a content expires
	MaxContents     int           // maximum number of contents

	mu        sync.RWMutex
	histories map[Digest]*history
}

// Defaults of a ledger. All requests on a failed instance notice the failure within seconds. A restarted instance needs
// longer than the duplicate window to load its layers, so that its next failure counts again. A content with 4 failures
// takes about 400 bytes.
const (
	defaultDuplicateWindow = 10 * time.Second
	defaultMaxAge          = time.Hour
	defaultMaxContents     = 4096
)

// NewLedger returns an empty ledger with the default limits.
func NewLedger(c Clock) *Ledger {
	return &Ledger{Clock: c, DuplicateWindow: defaultDuplicateWindow, MaxAge: defaultMaxAge, MaxContents: defaultMaxContents}
}

// IsSuspect reports whether requests with the content must run alone.
func (l *Ledger) IsSuspect(content Digest) bool { return l.find(content) != nil }

// IsConfirmed reports whether requests with the content must be rejected.
func (l *Ledger) IsConfirmed(content Digest) bool {
	h := l.find(content)
	return h != nil && h.confirmed
}

// RecordFailure records that an instance failed while a request with the content ran on it; alone is true when no other
// request of the entry ran there.
func (l *Ledger) RecordFailure(content Digest, instance string, alone bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(content, localFailure{instance: instance, alone: alone, at: l.Clock.Now()})
}

// Clear removes a suspect whose request has completed; a confirmed content stays.
func (l *Ledger) Clear(content Digest) {
	if l.find(content) == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if h, ok := l.histories[content]; ok && !h.confirmed {
		delete(l.histories, content)
	}
}

// Export returns the records of the contents that have not expired, confirmed ones first.
func (l *Ledger) Export() (out []Record) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	now := l.Clock.Now()
	for _, confirmed := range []bool{true, false} {
		for d, h := range l.histories {
			if h.confirmed != confirmed || l.isExpired(h, now) {
				continue
			}
			r := Record{digest: d}
			for _, f := range h.failures {
				r.failures = append(r.failures, NewFailure(f.instance, f.alone, now.Sub(f.at)))
			}
			out = append(out, r)
		}
	}
	return out
}

// Merge adds records from another entry; merging the same records again changes nothing.
func (l *Ledger) Merge(records []Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	for _, r := range records {
		for _, f := range r.failures {
			if f.age >= 0 && f.age < l.MaxAge {
				l.add(r.digest, localFailure{instance: f.instance, alone: f.alone, at: now.Add(-f.age)})
			}
		}
	}
}

// Len returns the number of contents kept, including expired ones.
func (l *Ledger) Len() int {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return len(l.histories)
}

// find returns a copy of the history of a content, nil when there is none or it has expired.
func (l *Ledger) find(content Digest) *history {
	l.mu.RLock()
	defer l.mu.RUnlock()
	h, ok := l.histories[content]
	if !ok || l.isExpired(h, l.Clock.Now()) {
		return nil
	}
	found := *h
	return &found
}

func (l *Ledger) isExpired(h *history, now time.Time) bool { return now.Sub(h.lastFailure) >= l.MaxAge }

func (l *Ledger) add(content Digest, f localFailure) {
	h, ok := l.histories[content]
	if ok && l.isExpired(h, l.Clock.Now()) {
		delete(l.histories, content)
		ok = false
	}
	if !ok {
		l.evict()
		h = &history{digest: content}
		if l.histories == nil {
			l.histories = map[Digest]*history{}
		}
		l.histories[content] = h
	}
	h.add(f, l.DuplicateWindow)
}

// evict removes contents when the ledger is full: all expired ones or else one, which is the suspect with the oldest
// last failure or, without suspects, the confirmed content with the oldest one.
func (l *Ledger) evict() {
	if len(l.histories) < l.MaxContents {
		return
	}
	now := l.Clock.Now()
	var victim *history
	for d, h := range l.histories {
		switch {
		case l.isExpired(h, now):
			delete(l.histories, d)
		case victim == nil, victim.confirmed && !h.confirmed, victim.confirmed == h.confirmed && h.lastFailure.Before(victim.lastFailure):
			victim = h
		}
	}
	if len(l.histories) >= l.MaxContents && victim != nil {
		delete(l.histories, victim.digest)
	}
}
