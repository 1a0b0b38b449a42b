package bergamotmember

import (
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Errors of Receive and HandleReply.
var (
	// ErrUnknownPeer is returned for a message from a sender that is neither in the settings nor in the instance list.
	ErrUnknownPeer = errors.New("unknown peer")
	// ErrInvalid is returned for a message whose sender is not the authenticated peer.
	ErrInvalid = errors.New("invalid message")
)

// Node is the membership state of one entry. It is not safe for concurrent use.
type Node struct {
	self              Peer
	incarnation       uint64
	leaving           bool
	rng               *rand.Rand
	head              Head
	heads             map[string]Head // newest head that each member reported
	known             map[string]Peer // peers by name
	partners          []string        // peers to which heartbeats are sent
	partnerIndex      int             // selects the partner of the next heartbeat, modulo their number
	isBehind          bool            // the last comparison found many records that this member lacks
	heartbeatCount    int
	misses            map[string]int       // unanswered heartbeats in a row by peer
	suspicionEnds     map[string]time.Time // time at which a suspected member counts as dead, by peer
	store             *store
	pending           map[string][]id     // records to send with the next message, by peer
	requested         map[string][]uint32 // key hashes to request with the next heartbeat, by peer
	demandAnnouncedAt time.Time
	nextHeartbeat     time.Time
	nextSweep         time.Time
	nextRotation      time.Time
	nextDeadProbe     time.Time
	rejected          map[string]int64 // count by reason
	dirty             bool             // the state has changed since the snapshot
	snapshot          *Snapshot
}

// NewNode returns the state of an entry that has just started. The incarnation need not exceed that of an earlier run:
// if other members know a higher one, the node raises its own.
func NewNode(self Peer, incarnation uint64, rng *rand.Rand) *Node {
	n := &Node{
		self: self, incarnation: max(incarnation, 1), rng: rng, heads: map[string]Head{}, known: map[string]Peer{},
		misses: map[string]int{}, suspicionEnds: map[string]time.Time{}, store: newStore(), pending: map[string][]id{}, requested: map[string][]uint32{},
		rejected: map[string]int64{}, dirty: true, isBehind: true,
	}
	n.announceState(time.Time{}, Alive)
	return n
}

// Incarnation returns the incarnation of this member.
func (n *Node) Incarnation() uint64 { return n.incarnation }

// Rejected returns the number of rejected messages and records by reason: "peer", "message", "record" or "full".
func (n *Node) Rejected() map[string]int64 { return maps.Clone(n.rejected) }

// SetPeers replaces the peers from the settings and the instance list, and removes the records of all others.
func (n *Node) SetPeers(peers []Peer) {
	known := make(map[string]Peer, len(peers))
	for _, p := range peers {
		if p.name != n.self.name && p.name != "" && len(p.name) <= maxKeyBytes {
			known[p.name] = p
		}
	}
	for name := range n.known {
		if _, ok := known[name]; !ok {
			n.forgetPeer(name)
		}
	}
	n.known = known
}

// SetHead sets the head of this entry; one that is not newer is ignored.
func (n *Node) SetHead(h Head) {
	if h.IsNewerThan(n.head) {
		n.head, n.dirty = h, true
	}
}

// Head returns the newest head that this member knows.
func (n *Node) Head() Head { return n.head }

// Leave announces that this member is leaving.
func (n *Node) Leave(now time.Time) {
	n.leaving = true
	n.announceState(now, Left)
}

// ReportTarget spreads the state Leaving or Dead of a target as observed by this entry itself. A hint from another
// entry must not be reported, since hints would then renew each other forever.
func (n *Node) ReportTarget(now time.Time, target string, s State) {
	i := id{KindTarget, target}
	if h, ok := n.store.findLive(now, i); ok && h.record.state >= s && h.currentRecord(now).ttl > maxTTLs[KindTarget]/3 {
		return
	}
	n.publish(now, RecordSpec{Kind: KindTarget, Key: target, Version: n.nextVersion(i), State: s, TTL: maxTTLs[KindTarget]})
}

// ReportCrash spreads a request, identified by its digest, that is confirmed to crash targets.
func (n *Node) ReportCrash(now time.Time, digest string, data []byte, ttl time.Duration) {
	i := id{KindCrash, digest}
	ttl = min(ttl, maxTTLs[KindCrash])
	if h, ok := n.store.findLive(now, i); ok && h.currentRecord(now).ttl > ttl/2 {
		return
	}
	n.publish(now, RecordSpec{Kind: KindCrash, Key: digest, Version: n.nextVersion(i), TTL: ttl, Data: data})
}

// SetDemand announces the workspaces with the highest demand at this entry. It announces at most once in 5 s, and only
// if a rate has changed by half or the last announcement is old.
func (n *Node) SetDemand(now time.Time, demand []Demand) {
	age := now.Sub(n.demandAnnouncedAt)
	if !n.demandAnnouncedAt.IsZero() && age < minDemandInterval {
		return
	}
	top := topDemand(demand)
	i := id{KindDemand, n.self.name}
	old, ok := n.store.findLive(now, i)
	if (ok && age < demandRefreshInterval && !hasDemandChanged(old.record.demand, top)) || (!ok && len(top) == 0) {
		return
	}
	n.demandAnnouncedAt = now
	// With the incarnation in the upper bits, the announcements of a restarted member follow its earlier ones.
	version := max(n.nextVersion(i), n.incarnation<<16)
	n.publish(now, RecordSpec{Kind: KindDemand, Key: n.self.name, Version: version, TTL: maxTTLs[KindDemand], Demand: top})
}

// nextVersion returns the version after that of the stored record, even if that record has expired.
func (n *Node) nextVersion(i id) uint64 {
	if h, ok := n.store.records[i]; ok {
		return h.record.version + 1
	}
	return 1
}

// publish stores a record of this member, so that it is sent to others.
func (n *Node) publish(now time.Time, s RecordSpec) {
	r, ok := NewRecord(s)
	if !ok {
		n.rejected["record"]++
		return
	}
	if _, full := n.store.put(now, r, ""); full {
		n.rejected["full"]++
	}
	n.dirty = true
}

// announceState publishes the state of this member.
func (n *Node) announceState(now time.Time, s State) {
	n.publish(now, RecordSpec{Kind: KindMember, Key: n.self.name, Version: n.incarnation, State: s})
}

// forgetPeer removes all state about a peer.
func (n *Node) forgetPeer(name string) {
	n.store.remove(id{KindMember, name})
	n.store.remove(id{KindDemand, name})
	delete(n.known, name)
	delete(n.heads, name)
	delete(n.suspicionEnds, name)
	delete(n.misses, name)
	delete(n.pending, name)
	delete(n.requested, name)
	n.partners = slices.DeleteFunc(n.partners, func(p string) bool { return p == name })
	n.dirty = true
}

// state returns the state of a member; ok is false if no record of it is stored.
func (n *Node) state(name string) (s State, ok bool) {
	h, ok := n.store.records[id{KindMember, name}]
	if !ok {
		return Alive, false
	}
	return h.record.state, true
}
