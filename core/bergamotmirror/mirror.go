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
	mu        sync.Mutex
	known     bool // the whole table has been read
	rows      map[string]bergamotstore.Row
	version   int64
	storeTime time.Duration
	source    string   // entry from which the latest store time came, empty for the store
	history   []Update // the latest updates, oldest first
	base      int64    // version before the first update of the history
	kept      int      // changes in the history
	updated   chan struct{}
}

// NewMirror returns an empty copy.
func NewMirror() *Mirror {
	return &Mirror{rows: map[string]bergamotstore.Row{}, updated: make(chan struct{})}
}

// Apply applies an update and wakes those that wait for one. Changes that arrive before the whole table, and updates that
// are older than the copy, are ignored.
func (m *Mirror) Apply(u Update) { m.applyFrom("", u) }

// applyFrom applies an update of another entry, or of the store for an empty name. Only one with a later store time changes
// the source: the store time of an entry is then never after that of its source, so that entries never have each other as
// sources.
func (m *Mirror) applyFrom(source string, u Update) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.known && u.version < m.version || !m.known && !u.whole {
		return
	}
	if source == "" || u.storeTime > m.storeTime {
		m.source = source
	}
	if u.whole {
		clear(m.rows)
		m.history, m.kept, m.base = nil, 0, u.version
	} else if u.version > m.version {
		m.history, m.kept = append(m.history, u), m.kept+len(u.changes)
		for m.kept > maxHistory {
			m.kept -= len(m.history[0].changes)
			m.base, m.history = m.history[0].version, m.history[1:]
		}
	}
	for _, c := range u.changes {
		if c.Deleted() {
			delete(m.rows, c.Row().Key())
		} else {
			m.rows[c.Row().Key()] = c.Row()
		}
	}
	m.known, m.version, m.storeTime = true, u.version, max(m.storeTime, u.storeTime)
	close(m.updated)
	m.updated = make(chan struct{})
}

// Source returns the entry from which the latest store time came, empty for the store.
func (m *Mirror) Source() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.source
}

// Since returns what changed after a version, the whole table if the history does not reach back to it. It also returns a
// channel that is closed at the next update. ok is false before the whole table has been read.
func (m *Mirror) Since(version int64) (u Update, updated <-chan struct{}, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	u = Update{version: m.version, storeTime: m.storeTime}
	if version < m.base || version == 0 {
		u.whole = true
		for _, row := range m.rows {
			u.changes = append(u.changes, bergamotstore.NewChange(row, false))
		}
		return u, m.updated, m.known
	}
	for _, h := range m.history {
		if h.version > version {
			u.changes = append(u.changes, h.changes...)
		}
	}
	return u, m.updated, m.known
}

// Version returns the version of the latest update, 0 before the first.
func (m *Mirror) Version() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version
}

// StoreTime returns the store's clock at the latest update.
func (m *Mirror) StoreTime() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.storeTime
}
