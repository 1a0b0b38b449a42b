package bergamotmirror

import (
	"cmp"
	"context"
	"slices"
	"time"

	"bergamotspur/core/bergamotstore"
)

// firstCopyTimeout is the time for the answer of another hub before an entry that has no copy of a table reads the store. A hub on
// a machine that is slowed down answers within 100 ms; one that is dark delays the start of this entry by this time.
const firstCopyTimeout = 150 * time.Millisecond

// askForFirstCopy makes the copy of another hub the first one of this entry, if it has none and the writer of the table numbers its
// rows. The read of the store that follows replaces it, but for rows that a restore of the store took back, which this entry
// cannot know. Entries that follow a hub get these from it.
func (r *Reader) askForFirstCopy(ctx context.Context, table string) {
	mirror := r.Mirror(table)
	if r.Newer[table] == nil || r.Network == nil || mirror.isKnown() {
		return
	}
	peer, ok := r.Peers.otherHub()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, firstCopyTimeout)
	defer cancel()
	r.setAsking(peer.name, 1)
	defer r.setAsking(peer.name, -1)
	reply, err := r.Network.Ask(ctx, peer, r.Self(), NewQuery(r.Self().name, table, bergamotstore.Position{}, 0, 0, r.countForQuery()))
	if err != nil || len(reply.path) == 0 {
		return // the store has the table too
	}
	u, ordered := reply.update, false
	if u.position, ordered = r.era.observe(u.position); ordered {
		mirror.applyFrom(peer.name, u)
	}
}

// otherHub returns a hub to ask that is not this entry, one of the own data centre if there is any; ok is false without one.
func (p *Peers) otherHub() (peer Peer, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	others := slices.DeleteFunc(slices.Clone(p.hubs), func(h Hub) bool { return h.name == p.Name || p.isAvoided(h.name) })
	if len(others) == 0 {
		return Peer{}, false
	}
	distance := func(h Hub) int {
		if h.centre == p.Centre {
			return 0
		}
		return 1
	}
	return slices.MinFunc(others, func(a, b Hub) int {
		return cmp.Or(cmp.Compare(distance(a), distance(b)), cmp.Compare(a.slot, b.slot))
	}).Peer, true
}
