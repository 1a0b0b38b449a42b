package bergamotmirror

import (
	"context"
	"slices"
)

// maxUnaskedTable is the number of bytes up to which a whole table is sent as the answer to a query for changes. Compressed, it has
// about 32 KB; 16 entries get it from one whose link carries 50 Mbit/s within 0.1 s of the 0.3 s that they wait.
const maxUnaskedTable = 256 << 10

// Answer answers the query of another entry, which can be followed at peer's address.
func (r *Reader) Answer(ctx context.Context, peer Peer, q Query) Reply {
	if r.readsThrough(q.entry) || !r.downstreams.Admit(NewPeer(q.entry, peer.address), q.entries) {
		return NewRedirect(r.downstreams.Peers())
	}
	mirror := r.Mirror(q.table)
	timeout := r.Clock.After(q.wait)
	for {
		u, updated, ok := mirror.Since(q.position)
		if ok && hasNews(u, q) {
			return r.reply(withoutLongTable(u, q))
		}
		select {
		case <-updated:
		case <-timeout:
			if !ok {
				return NewRedirect(nil)
			}
			return r.reply(u)
		case <-ctx.Done():
			return NewRedirect(nil)
		}
	}
}

// hasNews reports whether a query need not wait for a later update than u. A copy of an era that the asking entry knows to be
// lost is none, although it may have been read later.
func hasNews(u Update, q Query) bool {
	return q.position.IsBefore(u.position) || u.position.SameEra(q.position) && u.storeTime > q.storeTime
}

// withoutLongTable returns an update without its rows if it is a long table of a later era than that of the query. The entry then
// asks for the table, with more time for the answer: all that follow this one get it in the same moment.
func withoutLongTable(u Update, q Query) Update {
	if !u.whole || q.position.Number() == 0 || u.position.SameEra(q.position) || u.size() <= maxUnaskedTable {
		return u
	}
	return Update{position: u.position, storeTime: u.storeTime}
}

func (r *Reader) reply(u Update) Reply {
	return NewReply(u, append(slices.Clone(r.Path()), r.Self().name), r.Entries(), r.Vacant())
}

// Mirror returns this entry's copy of a table.
func (r *Reader) Mirror(table string) *Mirror {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mirrors[table] == nil {
		r.mirrors[table] = NewMirror(r.Newer[table])
	}
	return r.mirrors[table]
}

// Path returns the names of the entries between the store and this one, the hub first.
func (r *Reader) Path() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.path
}

// Era returns the latest era of the store that this process has seen in any table, 0 before the first answer that names one.
func (r *Reader) Era() int64 { return r.era.current() }

// Role is how an entry reads the tables.
type Role int

// Roles of an entry.
const (
	RoleReader    Role = iota // it reads the store itself
	RoleSecondHub             // it is a hub that reads the store through the first hub of its data centre
	RoleFollower              // it follows another entry
)

// readsThrough reports whether this entry reads the store through another one, or asks it at the moment.
func (r *Reader) readsThrough(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.asking[name] > 0 || slices.Contains(r.path, name)
}

// setAsking adds n to the queries to an entry that have no answer so far.
func (r *Reader) setAsking(name string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.asking[name] += n; r.asking[name] == 0 {
		delete(r.asking, name)
	}
}

// Hub returns the nearest hub through which this entry reads the store, which may be itself; ok is false if there is none.
// It counts this entry in its slot, also if it reads the store through another hub.
func (r *Reader) Hub() (hub Peer, ok bool) {
	if r.Peers.IsHub() {
		return r.Self(), true
	}
	for _, name := range slices.Backward(r.Path()) {
		if hub, ok = r.Peers.hub(name); ok {
			return hub, true
		}
	}
	return Peer{}, false
}

// Role returns how this entry reads the tables, and the name of the entry that answered last, empty if it was the store.
func (r *Reader) Role() (role Role, source string) {
	r.mu.Lock()
	source = r.source
	r.mu.Unlock()
	switch {
	case source == "":
		return RoleReader, ""
	case r.Peers.isFirst(source):
		return RoleSecondHub, source
	default:
		return RoleFollower, source
	}
}

// Downstream returns how many entries read through this one, including itself.
func (r *Reader) Downstream() int { return r.downstreams.Count() }

// Followers returns the entries that follow this one, without hubs.
func (r *Reader) Followers() []Follower { return r.downstreams.Followers() }

// setSource records which entry answered last, empty for the store, and the entries between the store and this one.
func (r *Reader) setSource(name string, path []string) {
	r.mu.Lock()
	changed := r.source != name
	r.source, r.path = name, path
	r.mu.Unlock()
	if changed && r.OnUpstream != nil {
		r.OnUpstream(name)
	}
}

// CountEntries records a count of the entries of all data centres.
func (r *Reader) CountEntries(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.observe(r.Clock.Uptime(), n)
}

// Entries returns the largest recent count of the entries of all data centres, 0 before the first.
func (r *Reader) Entries() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts.max(r.Clock.Uptime())
}

// SetVacant records whether the data centre has too few hubs.
func (r *Reader) SetVacant(vacant bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.vacant = vacant
}

// Vacant reports whether the data centre has too few hubs, by the word of one of them.
func (r *Reader) Vacant() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.vacant
}
