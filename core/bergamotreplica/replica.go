package bergamotreplica

import (
	"sync"
	"time"

	"bergamotspur/core/bergamotstore"
)

// maxHistory is the number of changes that a replica keeps. An entry whose version is older gets the whole table, which
// for 3,100 runners is about as long.
const maxHistory = 4096

// Replica is a copy of a table with its latest changes. It may be used concurrently.
type Replica struct {
	mu        sync.Mutex
	known     bool // the whole table has been read
	rows      map[string]bergamotstore.Row
	version   int64
	storeTime time.Duration
	history   []Update // the latest updates, oldest first
	base      int64    // version before the first update of the history
	kept      int      // changes in the history
	updated   chan struct{}
}

// NewReplica returns an empty copy.
func NewReplica() *Replica {
	return &Replica{rows: map[string]bergamotstore.Row{}, updated: make(chan struct{})}
}

// Apply applies an update and wakes those that wait for one. Changes that arrive before the whole table, and updates that
// are older than the copy, are ignored.
func (r *Replica) Apply(u Update) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.known && u.version < r.version || !r.known && !u.whole {
		return
	}
	if u.whole {
		clear(r.rows)
		r.history, r.kept, r.base = nil, 0, u.version
	} else if u.version > r.version {
		r.history, r.kept = append(r.history, u), r.kept+len(u.changes)
		for r.kept > maxHistory {
			r.kept -= len(r.history[0].changes)
			r.base, r.history = r.history[0].version, r.history[1:]
		}
	}
	for _, c := range u.changes {
		if c.Deleted() {
			delete(r.rows, c.Row().Key())
		} else {
			r.rows[c.Row().Key()] = c.Row()
		}
	}
	r.known, r.version, r.storeTime = true, u.version, max(r.storeTime, u.storeTime)
	close(r.updated)
	r.updated = make(chan struct{})
}

// Since returns what changed after a version, the whole table if the history does not reach back to it. It also returns a
// channel that is closed at the next update. ok is false before the whole table has been read.
func (r *Replica) Since(version int64) (u Update, updated <-chan struct{}, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u = Update{version: r.version, storeTime: r.storeTime}
	if version < r.base || version == 0 {
		u.whole = true
		for _, row := range r.rows {
			u.changes = append(u.changes, bergamotstore.NewChange(row, false))
		}
		return u, r.updated, r.known
	}
	for _, h := range r.history {
		if h.version > version {
			u.changes = append(u.changes, h.changes...)
		}
	}
	return u, r.updated, r.known
}

// Version returns the version of the latest update, 0 before the first.
func (r *Replica) Version() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// StoreTime returns the store's clock at the latest update.
func (r *Replica) StoreTime() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.storeTime
}
