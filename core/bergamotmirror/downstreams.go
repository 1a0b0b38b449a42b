package bergamotmirror

import (
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// maxDownstreams is the number of entries that follow one entry; more are redirected to these. With it, the cost of
	// an entry does not grow with the number of entries, and three levels hold 544 entries of a data centre.
	maxDownstreams = 16
	// reservedForHubs is the number of further places for hubs of the same data centre: the second one, and one that takes
	// over its slot while the old one still counts.
	reservedForHubs = 2
	// downstreamTTL is how long after its last query an entry counts as following. Queries wait for up to MaxWait.
	downstreamTTL = 3 * time.Second
)

// Downstreams are the entries that follow this one. They may be used concurrently.
type Downstreams struct {
	Now func() time.Duration

	mu      sync.Mutex
	entries map[string]downstream // by name
}

// downstream is an entry that follows this one.
type downstream struct {
	peer     Peer
	entries  int           // entries that read through it, including itself; 0 for a hub, which registers them itself
	lastSeen time.Duration // when its last query arrived
}

// Admit records a query of an entry that can itself be followed at peer's address, and reports whether the entry is one of
// those that this entry serves. Through the entry read entries entries, 0 for a hub, which registers them itself.
func (d *Downstreams) Admit(peer Peer, entries int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire()
	limit := maxDownstreams
	if entries <= 0 {
		limit += reservedForHubs
	}
	if _, known := d.entries[peer.name]; !known && len(d.entries) >= limit {
		return false
	}
	if d.entries == nil {
		d.entries = map[string]downstream{}
	}
	d.entries[peer.name] = downstream{peer: peer, entries: max(entries, 0), lastSeen: d.Now()}
	return true
}

// Count returns how many entries read through this one, including itself, without those behind another hub.
func (d *Downstreams) Count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire()
	n := 1
	for _, e := range d.entries {
		n += e.entries
	}
	return n
}

// Serving reports whether any entry follows this one.
func (d *Downstreams) Serving() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire()
	return len(d.entries) > 0
}

// Peers returns some of the entries that follow this one.
func (d *Downstreams) Peers() (peers []Peer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire()
	for _, e := range d.entries { // in random order
		if len(peers) < maxRedirects && e.peer.address != "" {
			peers = append(peers, e.peer)
		}
	}
	return peers
}

// Follower is an entry that follows another one.
type Follower struct {
	Peer
	entries int
}

// NewFollower returns the follower p through which a number of entries read, including itself.
func NewFollower(p Peer, entries int) Follower { return Follower{Peer: p, entries: entries} }

// Entries returns how many entries read through the follower, including itself.
func (f Follower) Entries() int { return f.entries }

// Followers returns the entries that follow this one and can be reached, in the order of their names, without hubs.
func (d *Downstreams) Followers() (list []Follower) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire()
	for _, e := range d.entries {
		if e.entries > 0 && e.peer.address != "" {
			list = append(list, NewFollower(e.peer, e.entries))
		}
	}
	slices.SortFunc(list, func(a, b Follower) int { return strings.Compare(a.name, b.name) })
	return list
}

// expire removes the entries that have stopped following.
func (d *Downstreams) expire() {
	for name, e := range d.entries {
		if d.Now()-e.lastSeen > downstreamTTL {
			delete(d.entries, name)
		}
	}
}
