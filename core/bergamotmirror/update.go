package bergamotmirror

import (
	"time"

	"bergamotspur/core/bergamotstore"
)

// Update is the content of a table, or what changed since a version, as the store had it at one moment.
type Update struct {
	changes   []bergamotstore.Change
	whole     bool
	position  bergamotstore.Position
	storeTime time.Duration
}

// NewUpdate returns the changes of a table up to a position in the store's history; storeTime is the store's monotonic clock
// when it was there, 0 if it is not known. If whole is set, the changes are all rows of the table.
func NewUpdate(changes []bergamotstore.Change, whole bool, p bergamotstore.Position, storeTime time.Duration) Update {
	return Update{changes: changes, whole: whole, position: p, storeTime: storeTime}
}

// Changes returns the changes in their order; the caller must not change the slice.
func (u Update) Changes() []bergamotstore.Change { return u.changes }

// Whole reports whether the changes are all rows of the table.
func (u Update) Whole() bool { return u.whole }

// Position returns the position of the table after the changes.
func (u Update) Position() bergamotstore.Position { return u.position }

// StoreTime returns the store's monotonic clock when it was at the position, 0 if it is not known.
func (u Update) StoreTime() time.Duration { return u.storeTime }

// size returns the number of bytes of the rows.
func (u Update) size() (n int) {
	for _, c := range u.changes {
		n += len(c.Row().Key()) + len(c.Row().Value())
	}
	return n
}

// Rows returns the rows of the changes that are not deletions.
func (u Update) Rows() (rows []bergamotstore.Row) {
	for _, c := range u.changes {
		if !c.Deleted() {
			rows = append(rows, c.Row())
		}
	}
	return rows
}

// Reading is an update together with when it was current and where it came from.
type Reading struct {
	Update
	asOf    time.Duration
	relayed bool
}

// NewReading returns a reading that was current at asOf, a time of the clock that counts suspended time.
func NewReading(u Update, asOf time.Duration, relayed bool) Reading {
	return Reading{Update: u, asOf: asOf, relayed: relayed}
}

// AsOf returns the latest time of this machine's clock that counts suspended time at which the store certainly had the
// version.
func (r Reading) AsOf() time.Duration { return r.asOf }

// Relayed reports whether the update came from another entry instead of the store.
func (r Reading) Relayed() bool { return r.relayed }
