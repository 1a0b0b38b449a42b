package bergamotmirror

import (
	"context"
	"slices"
	"time"
)

// ask returns what another entry knows about a table after a version, the whole table for version 0; ok is false if there
// is no entry to follow or it has no current version.
func (r *Reader) ask(ctx context.Context, table string, after int64) (reading Reading, ok bool) {
	if r.Network == nil {
		return reading, false
	}
	mirror := r.Mirror(table)
	for range maxRedirects {
		peer, ok := r.Peers.Upstream(r.unreachable.Load())
		if !ok {
			return reading, false
		}
		wait, timeout := r.queryTimes(ctx, table, after, mirror)
		q := NewQuery(r.Self().name, table, after, mirror.StoreTime(), wait, r.downstreams.Count())
		reply, err := r.query(ctx, peer, q, timeout)
		switch {
		case err != nil || slices.Contains(reply.path, r.Self().name):
			r.Peers.Avoid(peer.name)
			return reading, false
		case len(reply.path) == 0:
			r.Peers.Avoid(peer.name)
			r.Peers.Redirect(reply.redirect)
			continue
		}
		u := reply.update
		asOf, known := r.offset.localTime(u.storeTime)
		if !known || u.version < max(after, mirror.Version()) {
			return reading, false // the entry is behind this one
		}
		mirror.Apply(u)
		r.setSource(peer.name, reply.path)
		if reply.entries > 0 {
			r.CountEntries(reply.entries)
		}
		r.SetVacant(reply.vacant && !r.Peers.IsRemote())
		if r.Clock.Uptime()-asOf >= r.maxRelayedAge(table) {
			// The entry does not reach the store at present. While this one does not either, it still hears from the other
			// one when that changes.
			if !r.unreachable.Load() {
				r.Peers.Avoid(peer.name)
			}
			return reading, false
		}
		return NewReading(u, asOf, true), true
	}
	return reading, false
}

// queryTimes returns how long the answer to a query may wait for changes after a version, and how long it may take in all.
// The answer does not wait for longer than the copy counts as current.
func (r *Reader) queryTimes(ctx context.Context, table string, after int64, mirror *Mirror) (wait, timeout time.Duration) {
	if after == 0 {
		return listWait, listTimeout
	}
	wait = MaxWait
	if asOf, known := r.offset.localTime(mirror.StoreTime()); known {
		if left := asOf + r.maxRelayedAge(table) - r.Clock.Uptime(); left > 0 {
			wait = min(wait, left)
		}
	}
	if end, ok := ctx.Deadline(); ok {
		wait = max(min(wait, time.Until(end)-answerTimeout-minDirectTimeout), 0)
	}
	return wait, wait + answerTimeout
}

// query sends one query and waits for its reply.
func (r *Reader) query(ctx context.Context, to Peer, q Query, timeout time.Duration) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return r.Network.Ask(ctx, to, r.Self(), q)
}
