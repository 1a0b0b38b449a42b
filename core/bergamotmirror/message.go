package bergamotmirror

import (
	"time"

	"bergamotspur/core/bergamotstore"
)

// Query is the request of an entry for the changes of a table.
type Query struct {
	entry     string
	table     string
	position  bergamotstore.Position
	storeTime time.Duration
	wait      time.Duration
	entries   int
}

// NewQuery returns a query of the entry of that name, whose copy of the table has the given position and store time, for
// something newer. With the number 0 in the position it asks for the whole table as of its era or a later one. The answer may take up to wait. Through the entry read entries entries, including itself; a hub says 0,
// since its slot has their number.
func NewQuery(entry, table string, p bergamotstore.Position, storeTime, wait time.Duration, entries int) Query {
	return Query{entry: entry, table: table, position: p, storeTime: storeTime, wait: wait, entries: entries}
}

// Entry returns the name of the entry that asks.
func (q Query) Entry() string { return q.entry }

// Table returns the name of the table.
func (q Query) Table() string { return q.table }

// Position returns the position of the table that the entry has, with the number 0 for none.
func (q Query) Position() bergamotstore.Position { return q.position }

// StoreTime returns the store's clock at the entry's latest update.
func (q Query) StoreTime() time.Duration { return q.storeTime }

// Wait returns how long the answer may take.
func (q Query) Wait() time.Duration { return q.wait }

// Entries returns how many entries read through the one that asks, including itself, or 0 if it is a hub.
func (q Query) Entries() int { return q.entries }

// Reply is the answer to a query.
type Reply struct {
	update   Update
	path     []string
	entries  int
	vacant   bool
	redirect []Peer
}

// NewReply returns a reply with an update. The path names the entries between the store and the one that asks, the hub
// first; entries is the number of entries of all data centres, 0 if it is not known. If vacant is set, the data centre of
// the entry that answers has too few hubs.
func NewReply(u Update, path []string, entries int, vacant bool) Reply {
	return Reply{update: u, path: path, entries: entries, vacant: vacant}
}

// NewRedirect returns the reply of an entry that cannot serve another one; it names others that may, possibly none.
func NewRedirect(to []Peer) Reply { return Reply{redirect: to} }

// Update returns the update.
func (r Reply) Update() Update { return r.update }

// Path returns the names of the entries between the store and the one that asked, the hub first. It is empty if the
// entry was not served.
func (r Reply) Path() []string { return r.path }

// Entries returns the number of entries of all data centres, 0 if it is not known.
func (r Reply) Entries() int { return r.entries }

// Vacant reports whether the data centre of the entry that answered has too few hubs.
func (r Reply) Vacant() bool { return r.vacant }

// Redirect returns the entries to ask instead.
func (r Reply) Redirect() []Peer { return r.redirect }
