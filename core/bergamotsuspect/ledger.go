package bergamotsuspect

import (
	"sync"
	"time"
)

// Ledger keeps which contents are suspected or confirmed to make targets fail. It is traffic state with a
// lock of its own, since a suspect must be known before its next dispatch and a view lags.
type Ledger struct {
	Clock  Clock
	Window time.Duration // failures of one instance within this time are one incident
	Life   time.Duration // age at which a record expires
	Size   int           // most records

	mu      sync.RWMutex
	entries map[Digest]*entry
}

// Defaults of a ledger. A failure is noticed by all its requests within seconds, an instance that restarts
// needs longer than the window to load its layers, and a record of 4 strikes takes about 400 bytes.
const (
	defaultWindow = 10 * time.Second
	defaultLife   = time.Hour
	defaultSize   = 4096
)

// NewLedger returns an empty ledger with the default limits.
func NewLedger(c Clock) *Ledger {
	return &Ledger{Clock: c, Window: defaultWindow, Life: defaultLife, Size: defaultSize}
}

// Suspect tells whether the content must run alone.
func (l *Ledger) Suspect(content Digest) bool { return l.find(content) != nil }

// Confirmed tells whether the content must not run.
func (l *Ledger) Confirmed(content Digest) bool {
	e := l.find(content)
	return e != nil && e.confirmed
}

// Strike records that instance failed while the content ran there.
func (l *Ledger) Strike(content Digest, instance string, alone bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(content, incident{instance: instance, alone: alone, at: l.Clock.Now()})
}

// Clear forgets a suspect that ran to its end; a confirmed content stays.
func (l *Ledger) Clear(content Digest) {
	if l.find(content) == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if e, ok := l.entries[content]; ok && !e.confirmed {
		delete(l.entries, content)
	}
}

// Export returns the records that have not expired, confirmed ones first.
func (l *Ledger) Export() (out []Record) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	now := l.Clock.Now()
	for _, confirmed := range []bool{true, false} {
		for d, e := range l.entries {
			if e.confirmed != confirmed || l.expired(e, now) {
				continue
			}
			r := Record{digest: d}
			for _, i := range e.incidents {
				r.strikes = append(r.strikes, NewStrike(i.instance, i.alone, now.Sub(i.at)))
			}
			out = append(out, r)
		}
	}
	return out
}

// Merge adds the records of another entry; merging the same records again changes nothing.
func (l *Ledger) Merge(records []Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	for _, r := range records {
		for _, s := range r.strikes {
			if s.age >= 0 && s.age < l.Life {
				l.add(r.digest, incident{instance: s.instance, alone: s.alone, at: now.Add(-s.age)})
			}
		}
	}
}

// Len returns how many records are kept, expired ones included.
func (l *Ledger) Len() int {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return len(l.entries)
}

// find returns a copy of the entry of a content, nil when there is none that counts.
func (l *Ledger) find(content Digest) *entry {
	l.mu.RLock()
	defer l.mu.RUnlock()
	e, ok := l.entries[content]
	if !ok || l.expired(e, l.Clock.Now()) {
		return nil
	}
	found := *e
	return &found
}

func (l *Ledger) expired(e *entry, now time.Time) bool { return now.Sub(e.at) >= l.Life }

func (l *Ledger) add(content Digest, i incident) {
	e, ok := l.entries[content]
	if ok && l.expired(e, l.Clock.Now()) {
		delete(l.entries, content)
		ok = false
	}
	if !ok {
		l.evict()
		e = &entry{digest: content}
		if l.entries == nil {
			l.entries = map[Digest]*entry{}
		}
		l.entries[content] = e
	}
	e.add(i, l.Window)
}

// evict makes room for one record: expired ones go first, then the oldest suspect, then the oldest of all.
func (l *Ledger) evict() {
	if len(l.entries) < l.Size {
		return
	}
	now := l.Clock.Now()
	var victim *entry
	for d, e := range l.entries {
		switch {
		case l.expired(e, now):
			delete(l.entries, d)
		case victim == nil, victim.confirmed && !e.confirmed, victim.confirmed == e.confirmed && e.at.Before(victim.at):
			victim = e
		}
	}
	if len(l.entries) >= l.Size && victim != nil {
		delete(l.entries, victim.digest)
	}
}
