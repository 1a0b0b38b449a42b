package bergamotmirror

import (
	"sync"
	"time"
)

const (
	// maxDownstreams is the number of entries that follow one entry; more are redirected to these. With it, the cost of
	// an entry does not grow with the number of entries, and three levels hold 544 entries of a data centre.
	maxDownstreams = 16
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
	entries  int           // entries that read through it, including itself
	lastSeen time.Duration // when its last query arrived
}

// Admit records a query of an entry that can itself be followed at peer's address, and reports whether the entry is one of
// those that this entry serves.
func (d *Downstreams) Admit(peer Peer, entries int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire()
	if _, known := d.entries[peer.name]; !known && len(d.entries) >= maxDownstreams {
		return false
	}
	if d.entries == nil {
		d.entries = map[string]downstream{}
	}
	d.entries[peer.name] = downstream{peer: peer, entries: max(entries, 1), lastSeen: d.Now()}
	return true
}

// Count returns how many entries read through this one, including itself.
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
func (d *Downstreams) Serving() bool { return d.Count() > 1 }

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

// expire removes the entries that have stopped following.
func (d *Downstreams) expire() {
	for name, e := range d.entries {
		if d.Now()-e.lastSeen > downstreamTTL {
			delete(d.entries, name)
		}
	}
}
