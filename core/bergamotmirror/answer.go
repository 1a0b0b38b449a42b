package bergamotmirror

import (
	"context"
	"slices"
)

// Answer answers the query of another entry, which can be followed at peer's address.
func (r *Reader) Answer(ctx context.Context, peer Peer, q Query) Reply {
	if slices.Contains(r.Path(), q.entry) || !r.downstreams.Admit(NewPeer(q.entry, peer.address), q.entries) {
		return NewRedirect(r.downstreams.Peers())
	}
	mirror := r.Mirror(q.table)
	timeout := r.Clock.After(q.wait)
	for {
		u, updated, ok := mirror.Since(q.version)
		if ok && (u.version > q.version || u.storeTime > q.storeTime) {
			return r.reply(u)
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

func (r *Reader) reply(u Update) Reply {
	return NewReply(u, append(slices.Clone(r.Path()), r.Self().name), r.Entries(), r.Vacant())
}

// Mirror returns this entry's copy of a table.
func (r *Reader) Mirror(table string) *Mirror {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mirrors[table] == nil {
		r.mirrors[table] = NewMirror()
	}
	return r.mirrors[table]
}

// Path returns the names of the entries between the store and this one, the hub first.
func (r *Reader) Path() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.path
}

// Hub returns the hub through which this entry reads the store, which may be itself; ok is false if there is none.
func (r *Reader) Hub() (hub Peer, ok bool) {
	if r.Peers.IsHub() {
		return r.Self(), true
	}
	if path := r.Path(); len(path) > 0 {
		return r.Peers.hub(path[0])
	}
	return Peer{}, false
}

// Downstream returns how many entries read through this one, including itself.
func (r *Reader) Downstream() int { return r.downstreams.Count() }

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
