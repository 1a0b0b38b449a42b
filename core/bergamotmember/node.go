package bergamotmember

import (
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Errors of Receive and Answered.
var (
	// ErrUnknownPeer is returned for a message of a sender that neither settings nor the instance list names.
	ErrUnknownPeer = errors.New("unknown peer")
	// ErrInvalid is returned for a message whose sender or sizes are wrong.
	ErrInvalid = errors.New("invalid message")
)

// Node is the membership state of one entry; one goroutine may use it at a time.
type Node struct {
	self        Peer
	incarnation uint64
	leaving     bool
	rng         *rand.Rand
	head        Head
	heads       map[string]Head
	known       map[string]Peer
	partners    []string
	turn        int
	behind      bool // the last digest found many records that this member lacks
	beats       int
	misses      map[string]int
	suspects    map[string]time.Time
	store       *store
	owed        map[string][]id
	wants       map[string][]uint32
	demandAt    time.Time
	next        time.Time
	nextSweep   time.Time
	nextSwap    time.Time
	nextRevive  time.Time
	rejected    map[string]int64
	dirty       bool
	picture     *Picture
}

// NewNode returns the state of an entry that has just started. The incarnation need not exceed an earlier one: when
// others remember a higher one, the node raises its own.
func NewNode(self Peer, incarnation uint64, rng *rand.Rand) *Node {
	n := &Node{
		self: self, incarnation: max(incarnation, 1), rng: rng, heads: map[string]Head{}, known: map[string]Peer{},
		misses: map[string]int{}, suspects: map[string]time.Time{}, store: newStore(), owed: map[string][]id{}, wants: map[string][]uint32{},
		rejected: map[string]int64{}, dirty: true, behind: true,
	}
	n.announce(time.Time{}, Alive)
	return n
}

// Incarnation returns the incarnation of this member.
func (n *Node) Incarnation() uint64 { return n.incarnation }

// Rejected returns how many messages and records were rejected by reason: "peer", "message", "record", "full".
func (n *Node) Rejected() map[string]int64 { return maps.Clone(n.rejected) }

// SetPeers replaces the peers that settings and the instance list name; the records of all others are dropped.
func (n *Node) SetPeers(peers []Peer) {
	known := make(map[string]Peer, len(peers))
	for _, p := range peers {
		if p.name != n.self.name && p.name != "" && len(p.name) <= maxKey {
			known[p.name] = p
		}
	}
	for name := range n.known {
		if _, ok := known[name]; !ok {
			n.drop(name)
		}
	}
	n.known = known
}

// SetHead tells the head that this entry knows; an older one changes nothing.
func (n *Node) SetHead(h Head) {
	if h.Newer(n.head) {
		n.head, n.dirty = h, true
	}
}

// Head returns the newest head that this member knows.
func (n *Node) Head() Head { return n.head }

// Leave announces that this member leaves.
func (n *Node) Leave(now time.Time) {
	n.leaving = true
	n.announce(now, Left)
}

// ReportTarget spreads what this entry itself observed about a target: Leaving or Dead. A hint of another entry
// must not be reported, since hints would then renew each other for ever.
func (n *Node) ReportTarget(now time.Time, target string, s State) {
	i := id{KindTarget, target}
	if h, ok := n.store.find(now, i); ok && h.record.state >= s && h.left(now).left > lifetimes[KindTarget]/3 {
		return
	}
	n.publish(now, RecordSpec{Kind: KindTarget, Key: target, Version: n.after(i), State: s, Left: lifetimes[KindTarget]})
}

// ReportCrash spreads a request that was confirmed to crash targets.
func (n *Node) ReportCrash(now time.Time, digest string, data []byte, lifetime time.Duration) {
	i := id{KindCrash, digest}
	lifetime = min(lifetime, lifetimes[KindCrash])
	if h, ok := n.store.find(now, i); ok && h.left(now).left > lifetime/2 {
		return
	}
	n.publish(now, RecordSpec{Kind: KindCrash, Key: digest, Version: n.after(i), Left: lifetime, Data: data})
}

// SetDemand announces the workspaces with the most demand at this entry. It sends nothing while no rate has moved
// by half, and never more often than once in 5 s.
func (n *Node) SetDemand(now time.Time, demand []Demand) {
	age := now.Sub(n.demandAt)
	if !n.demandAt.IsZero() && age < demandPause {
		return
	}
	top := topDemand(demand)
	i := id{KindDemand, n.self.name}
	old, ok := n.store.find(now, i)
	if (ok && age < demandRefresh && !moved(old.record.demand, top)) || (!ok && len(top) == 0) {
		return
	}
	n.demandAt = now
	// The incarnation in the upper bits orders the announcements of a restarted member after its earlier ones.
	version := max(n.after(i), n.incarnation<<16)
	n.publish(now, RecordSpec{Kind: KindDemand, Key: n.self.name, Version: version, Left: lifetimes[KindDemand], Demand: top})
}

// after returns the version that follows the one held, also after that has expired.
func (n *Node) after(i id) uint64 {
	if h, ok := n.store.all[i]; ok {
		return h.record.version + 1
	}
	return 1
}

// publish keeps an own record and spreads it.
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

// announce spreads the state of this member.
func (n *Node) announce(now time.Time, s State) {
	n.publish(now, RecordSpec{Kind: KindMember, Key: n.self.name, Version: n.incarnation, State: s})
}

// drop forgets everything about a member.
func (n *Node) drop(name string) {
	n.store.remove(id{KindMember, name})
	n.store.remove(id{KindDemand, name})
	delete(n.known, name)
	delete(n.heads, name)
	delete(n.suspects, name)
	delete(n.misses, name)
	delete(n.owed, name)
	delete(n.wants, name)
	n.partners = slices.DeleteFunc(n.partners, func(p string) bool { return p == name })
	n.dirty = true
}

// state returns the state of a member; ok is false before anything was heard of it.
func (n *Node) state(name string) (s State, ok bool) {
	h, ok := n.store.all[id{KindMember, name}]
	if !ok {
		return Alive, false
	}
	return h.record.state, true
}
