package bergamotmirror

import (
	"sync"
	"time"

	"bergamotspur/core/bergamotstore"
)

// maxHistory is the number of changes that a mirror keeps. An entry whose version is older gets the whole table, which
// for 3,100 runners is about as long.
const maxHistory = 4096

// Mirror is a copy of a table with its latest changes. It may be used concurrently.
type Mirror struct {
	newer RowOrder

	mu        sync.Mutex
	known     bool // the whole table has been read
	rows      map[string]bergamotstore.Row
	position  bergamotstore.Position
	storeTime time.Duration
	source    string   // entry from which the latest store time came, empty for the store
	history   []Update // the latest updates, oldest first
	base      int64    // number before the first update of the history, which is of one era
	kept      int      // changes in the history
	updated   chan struct{}
}

// NewMirror returns an empty copy. Newer is as in Reader.Newer, nil for none.
func NewMirror(newer RowOrder) *Mirror {
	return &Mirror{newer: newer, rows: map[string]bergamotstore.Row{}, updated: make(chan struct{})}
}

// Apply applies an update and wakes those that wait for one. Changes that arrive before the whole table, and updates that
// are older than the copy, are ignored. So are changes of another era than that of the copy: only a whole table begins an era.
func (m *Mirror) Apply(u Update) { m.applyFrom("", u) }

// applyFrom applies an update of another entry, or of the store for an empty name. Only one with a later store time changes
// the source: the store time of an entry is then never after that of its source, so that entries never have each other as
// sources. It returns the update as it was applied; ok is false if it was ignored.
func (m *Mirror) applyFrom(source string, u Update) (applied Update, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.accepts(source, u) {
		return u, false
	}
	if source == "" || u.storeTime > m.storeTime {
		m.source = source
	}
	if u.whole {
		u.changes = m.retain(u)
		clear(m.rows)
		m.history, m.kept, m.base = nil, 0, u.position.Number()
	} else if m.position.IsBefore(u.position) {
		m.history, m.kept = append(m.history, u), m.kept+len(u.changes)
		for m.kept > maxHistory {
			m.kept -= len(m.history[0].changes)
			m.base, m.history = m.history[0].position.Number(), m.history[1:]
		}
	}
	for _, c := range u.changes {
		if c.Deleted() {
			delete(m.rows, c.Row().Key())
		} else {
			m.rows[c.Row().Key()] = c.Row()
		}
	}
	m.known, m.position, m.storeTime = true, u.position, max(m.storeTime, u.storeTime)
	close(m.updated)
	m.updated = make(chan struct{})
	return u, true
}

// accepts reports whether an update is not older than the copy and continues its history, or is a whole table. One that the
// store itself gives is older only if its era is: a store that names no eras may give a lower number after a restore. The
// caller holds the lock.
func (m *Mirror) accepts(source string, u Update) bool {
	switch {
	case !m.known:
		return u.whole
	case u.whole && source == "":
		return u.position.SameEra(m.position) || m.position.IsBefore(u.position)
	case u.whole:
		return u.position.Compare(m.position) >= 0
	default:
		return u.position.SameEra(m.position) && !u.position.IsBefore(m.position)
	}
}

// isKnown reports whether the whole table has been read.
func (m *Mirror) isKnown() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.known
}

// Source returns the entry from which the latest store time came, empty for the store.
func (m *Mirror) Source() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.source
}

// Since returns what changed after a position, the whole table if the history does not reach back to it or is of a later era,
// and nothing if the copy is of an earlier one. It also returns a channel that is closed at the next update. ok is false before
// the whole table has been read.
func (m *Mirror) Since(p bergamotstore.Position) (u Update, updated <-chan struct{}, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	u = Update{position: m.position, storeTime: m.storeTime}
	if !p.SameEra(m.position) && m.position.IsBefore(p) {
		return u, m.updated, m.known
	}
	if p.Number() < m.base || p.Number() == 0 || !p.SameEra(m.position) {
		u.whole = true
		for _, row := range m.rows {
			u.changes = append(u.changes, bergamotstore.NewChange(row, false))
		}
		return u, m.updated, m.known
	}
	for _, h := range m.history {
		if p.IsBefore(h.position) {
			u.changes = append(u.changes, h.changes...)
		}
	}
	return u, m.updated, m.known
}

// Position returns the position of the latest update, the zero position before the first.
func (m *Mirror) Position() bergamotstore.Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.position
}

// StoreTime returns the store's clock at the latest update.
func (m *Mirror) StoreTime() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.storeTime
}
