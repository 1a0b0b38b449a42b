package bergamotmirror

import (
	"context"
	"slices"
	"time"

	"bergamotspur/core/bergamotstore"
)

// upstream returns the entry to ask for changes of the tables; ok is false if the store itself must be read. chained is set
// if this entry is the second hub of its data centre and reads the store through the first.
func (r *Reader) upstream() (peer Peer, chained, ok bool) {
	unreachable := r.unreachable.Load()
	if !unreachable && r.Peers.takeStoreDoubt() {
		unreachable = true
		r.unreachable.Store(true)
	}
	if !unreachable {
		if peer, ok = r.Peers.firstHub(r.Entries()); ok {
			return peer, true, true
		}
	}
	peer, ok = r.Peers.Upstream(unreachable)
	return peer, false, ok
}

// outcome is how a query to another entry ended.
type outcome int

const (
	outcomeCurrent    outcome = iota // the reply has a current version
	outcomeFailed                    // there is no valid reply
	outcomeRedirected                // the other entry does not serve this one
	outcomeStale                     // the other entry does not reach the store at present
	outcomeUseless                   // the other entry has no version that this one can use
	outcomeDropped                   // the other entry has a long table of a later era, which has to be asked for
)

// ask returns what another entry knows about a table after a position, the whole table for the number 0. The result is
// outcomeCurrent, outcomeDropped or, if there is no entry to follow or it has no current version, outcomeUseless.
func (r *Reader) ask(ctx context.Context, table string, after bergamotstore.Position) (reading Reading, result outcome) {
	if r.Network == nil {
		return reading, outcomeUseless
	}
	last := outcomeRedirected
	for range maxRedirects {
		peer, chained, ok := r.upstream()
		if !ok {
			return reading, outcomeUseless
		}
		wait, timeout := r.queryTimes(ctx, table, after, chained)
		if last != outcomeRedirected {
			if wait, timeout = r.retryTimes(ctx, table, after, last); timeout <= 0 {
				return reading, outcomeUseless
			}
		}
		reading, result = r.askPeer(ctx, peer, chained, table, after, wait, timeout)
		switch {
		case result == outcomeCurrent || result == outcomeDropped:
			return reading, result
		case chained || result == outcomeUseless || result != outcomeRedirected && last != outcomeRedirected:
			return Reading{}, outcomeUseless
		case result == outcomeStale && r.unreachable.Load():
			return Reading{}, outcomeUseless
		case result != outcomeRedirected:
			last = result
		}
	}
	return Reading{}, outcomeUseless
}

// askPeer asks one entry and applies its reply. Until then this entry does not answer the other one, so that two entries
// that ask each other at the same moment do not both accept the copy of the other.
func (r *Reader) askPeer(ctx context.Context, peer Peer, chained bool, table string, after bergamotstore.Position, wait, timeout time.Duration) (Reading, outcome) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r.setAsking(peer.name, 1)
	defer r.setAsking(peer.name, -1)
	q := NewQuery(r.Self().name, table, after, r.Mirror(table).StoreTime(), wait, r.countForQuery())
	reply, err := r.Network.Ask(ctx, peer, r.Self(), q)
	switch {
	case err != nil || slices.Contains(reply.path, r.Self().name):
		r.Peers.Avoid(peer.name)
		return Reading{}, outcomeFailed
	case chained && len(reply.path) != 1: // the first hub does not read the store itself
		r.Peers.Avoid(peer.name)
		return Reading{}, outcomeUseless
	case len(reply.path) == 0:
		r.Peers.Avoid(peer.name)
		r.Peers.Redirect(reply.redirect)
		return Reading{}, outcomeRedirected
	}
	return r.accept(table, after, peer, reply, chained)
}

// accept applies the reply of another entry.
func (r *Reader) accept(table string, after bergamotstore.Position, peer Peer, reply Reply, chained bool) (Reading, outcome) {
	u, mirror := reply.update, r.Mirror(table)
	asOf, known := r.offset.localTime(u.storeTime)
	position, ordered := r.era.observe(u.position)
	u.position = position
	if known && !u.whole && !position.SameEra(after) && after.IsBefore(position) {
		return Reading{}, outcomeDropped
	}
	ok := known && ordered && !position.IsBefore(after)
	if ok {
		u, ok = mirror.applyFrom(peer.name, u)
	}
	switch lost := !ordered || !position.SameEra(after); {
	case !ok && lost: // the entry has a copy of an era that a restore of the store has ended, or cannot tell
		r.Peers.AvoidOutdated(peer.name)
		return Reading{}, outcomeStale
	case !ok && chained:
		r.Peers.Avoid(peer.name)
		return Reading{}, outcomeUseless
	case !ok && reply.update.position.Era() == 0: // its number may be lower since a restore
		return Reading{}, outcomeUseless
	case !ok: // the entry is behind this one
		return r.ownCopy(table, after)
	}
	r.setSource(peer.name, reply.path)
	if !chained { // a hub counts the entries and the hubs itself
		if reply.entries > 0 {
			r.CountEntries(reply.entries)
		}
		r.SetVacant(reply.vacant && !r.Peers.IsRemote())
	}
	if r.Clock.Uptime()-asOf >= r.maxAge(table, chained) {
		// The entry does not reach the store at present. While this one does not either, it still hears from the other
		// one when that changes.
		if !r.unreachable.Load() {
			r.Peers.AvoidOutdated(peer.name)
		}
		return Reading{}, outcomeStale
	}
	return NewReading(u, asOf, true), outcomeCurrent
}

// ownCopy returns what this entry's copy of a table has after a position while that copy counts as current. An entry that has
// read the store itself is ahead of the one that it follows until that one reads the table.
func (r *Reader) ownCopy(table string, after bergamotstore.Position) (Reading, outcome) {
	left := r.copyLeft(table, false)
	u, _, ok := r.Mirror(table).Since(after)
	asOf, known := r.offset.localTime(u.storeTime)
	if !ok || !known || left <= 0 || u.position.IsBefore(after) {
		return Reading{}, outcomeUseless
	}
	return NewReading(u, asOf, true), outcomeCurrent
}

// countForQuery returns how many entries read through this one, 0 if it is a hub, whose slot has that number.
func (r *Reader) countForQuery() int {
	if r.Peers.IsHub() {
		return 0
	}
	return r.downstreams.Count()
}

// maxAge returns the age from which an answer about a table does not count as current. A second hub has to notice that the
// first one has none before its own followers do, or all of them would call the store at once.
func (r *Reader) maxAge(table string, chained bool) time.Duration {
	if chained {
		return r.maxRelayedAge(table) - chainedMargin
	}
	return r.maxRelayedAge(table)
}

// copyLeft returns how long the copy of a table still counts as current, 0 or less if it does not.
func (r *Reader) copyLeft(table string, chained bool) time.Duration {
	asOf, known := r.offset.localTime(r.Mirror(table).StoreTime())
	if !known {
		return 0
	}
	return asOf + r.maxAge(table, chained) - r.Clock.Uptime()
}

// queryTimes returns how long the answer to a query may wait for changes after a position, and how long it may take in all.
// The answer does not wait for longer than the copy counts as current.
func (r *Reader) queryTimes(ctx context.Context, table string, after bergamotstore.Position, chained bool) (wait, timeout time.Duration) {
	if after.Number() == 0 {
		if r.Mirror(table).Position().Number() > 0 {
			// After a restore of the store, changes must be in force in time although the other entry has failed meanwhile.
			return listWait, listWait + answerTimeout
		}
		return listWait, listTimeout
	}
	wait, timeout = MaxWait, MaxWait+answerTimeout
	left := r.copyLeft(table, chained)
	if left > 0 {
		wait = min(wait, left)
	}
	if end, ok := ctx.Deadline(); ok {
		wait = max(min(wait, time.Until(end)-answerTimeout-minDirectTimeout), 0)
	}
	timeout = wait + answerTimeout
	if chained && left > 0 {
		timeout = min(timeout, left+chainedMargin/2)
	}
	return wait, timeout
}

// retryTimes returns the same as queryTimes for a query after one that ended with last. A second failure must not delay the
// read of the store beyond the age at which the copy is too old, or minRetryTimeout if it is. Both times are 0 if there is no
// time for an answer.
func (r *Reader) retryTimes(ctx context.Context, table string, after bergamotstore.Position, last outcome) (wait, timeout time.Duration) {
	if after.Number() == 0 {
		return 0, 0
	}
	timeout = r.copyLeft(table, false)
	if last == outcomeStale {
		timeout = minRetryTimeout
	}
	if end, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(end)-minDirectTimeout)
	}
	if timeout < minRetryTimeout {
		return 0, 0
	}
	return timeout - minRetryTimeout, timeout
}
