package bergamotmirror

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// maxRedirects is the number of entries that a full hub names.
	maxRedirects = 4
	// newHubDuration is how long a hub expects its first followers. Entries that start together read the hubs within a
	// second, and those whose hub was restarted ask it again after avoidDuration.
	newHubDuration = 3 * time.Second
)

// Peer is an entry that others can follow.
type Peer struct {
	name    string
	address string
}

// NewPeer returns the entry of that name; address is the host and port at which other entries can follow it.
func NewPeer(name, address string) Peer { return Peer{name: name, address: address} }

// Name returns the name of the entry.
func (p Peer) Name() string { return p.name }

// Address returns the host and port at which other entries can follow the entry.
func (p Peer) Address() string { return p.address }

// Hub is an entry that reads the store for the entries of its data centre.
type Hub struct {
	Peer
	centre  string
	slot    int
	entries int
}

// NewHub returns the hub that holds a slot of a data centre; entries is the number of entries that read through it,
// including itself.
func NewHub(p Peer, centre string, slot, entries int) Hub {
	return Hub{Peer: p, centre: centre, slot: slot, entries: entries}
}

// Centre returns the data centre of the hub.
func (h Hub) Centre() string { return h.centre }

// Slot returns the number of the slot that the hub holds in its data centre, from 0.
func (h Hub) Slot() int { return h.slot }

// Entries returns how many entries read through the hub, including itself.
func (h Hub) Entries() int { return h.entries }

// Peers selects the entry that this one follows. It may be used concurrently.
type Peers struct {
	Centre string               // data centre of this entry
	Name   string               // of this entry
	Random func(n int) int      // returns a number from 0 to n-1
	Now    func() time.Duration // time since the machine booted
	// MinEntriesPerHub is the number of entries for each hub of all data centres from which the second hub of a data centre
	// reads the store through the first, 0 for never.
	MinEntriesPerHub int

	mu         sync.Mutex
	hubs       []Hub
	isHub      bool
	first      Peer          // the hub of this data centre with a lower slot, empty if there is none or this entry is no hub
	hubsFailed bool          // the hubs could not be read or written since the last call of takeStoreDoubt
	hubSince   time.Duration // when this entry became a hub
	known      chan struct{} // closed when the hubs have been set or could not be read
	upstream   Peer          // the entry that this one follows, empty for none
	remote     bool          // the upstream is in another data centre
	avoid      map[string]avoidance
}

// SetHubs sets the hubs of all data centres, of which this entry may be one.
func (p *Peers) SetHubs(hubs []Hub) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hubs = hubs
	p.markKnown()
	own := slices.IndexFunc(hubs, func(h Hub) bool { return h.name == p.Name })
	wasHub := p.isHub
	p.isHub, p.first = own >= 0, Peer{}
	if !p.isHub {
		return
	}
	if !wasHub {
		p.hubSince = p.Now()
	}
	p.upstream = Peer{}
	for _, h := range p.leads() {
		if h.centre == p.Centre && h.slot < hubs[own].slot {
			p.first = h.Peer
		}
	}
}

// SetHubsUnknown records that the hubs could not be read or written.
func (p *Peers) SetHubsUnknown() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.markKnown()
	p.hubsFailed = true
}

// takeStoreDoubt reports whether this entry is a second hub that has failed to read or write the hubs since the last call.
// Since it makes no other calls, it learns only from these that the store turns it away.
func (p *Peers) takeStoreDoubt() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	failed := p.hubsFailed && p.first.name != ""
	p.hubsFailed = false
	return failed
}

// waitForHubs waits until the hubs have been set or could not be read, or for a timeout.
func (p *Peers) waitForHubs(ctx context.Context, timeout <-chan time.Time) {
	p.mu.Lock()
	if p.known == nil {
		p.known = make(chan struct{})
	}
	known := p.known
	p.mu.Unlock()
	select {
	case <-known:
	case <-timeout:
	case <-ctx.Done():
	}
}

// markKnown ends waitForHubs.
func (p *Peers) markKnown() {
	if p.known == nil {
		p.known = make(chan struct{})
	}
	select {
	case <-p.known:
	default:
		close(p.known)
	}
}

// IsHub reports whether this entry is a hub.
func (p *Peers) IsHub() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isHub
}

// Rank returns the position of this entry in the order of all hubs, from 0; -1 if it is none.
func (p *Peers) Rank() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.IndexFunc(p.hubs, func(h Hub) bool { return h.name == p.Name })
}

// isNewHub reports whether this entry has become a hub so recently that others may be about to follow it.
func (p *Peers) isNewHub() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isHub && p.Now()-p.hubSince < newHubDuration
}

// Leads returns the first hub of each data centre, except this entry. A lead collects reports of the runners there.
func (p *Peers) Leads() (leads []Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.leads() {
		if h.name != p.Name && !p.isAvoided(h.name) {
			leads = append(leads, h.Peer)
		}
	}
	return leads
}

// hub returns the hub of that name.
func (p *Peers) hub(name string) (hub Peer, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.IndexFunc(p.hubs, func(h Hub) bool { return h.name == name })
	if i < 0 {
		return Peer{}, false
	}
	return p.hubs[i].Peer, true
}

// IsLead reports whether this entry is the first hub of its data centre.
func (p *Peers) IsLead() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.leads(), func(h Hub) bool { return h.name == p.Name })
}

// leads returns the hub with the lowest slot in each data centre.
func (p *Peers) leads() (out []Hub) {
	first := map[string]Hub{}
	for _, h := range p.hubs {
		if other, ok := first[h.centre]; !ok || h.slot < other.slot {
			first[h.centre] = h
		}
	}
	return slices.Collect(maps.Values(first))
}

// Upstream returns the entry to follow. While the store cannot be reached, it may also be a hub of another data centre,
// which a hub then follows as well. ok is false if the store itself must be read.
func (p *Peers) Upstream(storeUnreachable bool) (peer Peer, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isHub && !storeUnreachable {
		return Peer{}, false
	}
	if p.upstream.name != "" && !p.isAvoided(p.upstream.name) && (!p.remote || storeUnreachable) {
		return p.upstream, true
	}
	p.upstream = Peer{}
	var candidates, remote []Peer
	for _, h := range p.hubs {
		switch {
		case h.name == p.Name || p.isAvoided(h.name):
		case h.centre == p.Centre:
			candidates = append(candidates, h.Peer)
		case storeUnreachable:
			remote = append(remote, h.Peer)
		}
	}
	p.remote = len(candidates) == 0
	if p.remote {
		candidates = remote
	}
	if len(candidates) == 0 {
		return Peer{}, false
	}
	p.upstream = candidates[p.Random(len(candidates))]
	return p.upstream, true
}

// firstHub returns the hub through which this entry, the second hub of its data centre, reads the store; entries is the
// number of entries of all data centres. ok is false if it must read the store itself.
func (p *Peers) firstHub(entries int) (first Peer, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.MinEntriesPerHub <= 0 || entries < p.MinEntriesPerHub*len(p.hubs) {
		return Peer{}, false
	}
	if p.first.name == "" || p.isAvoided(p.first.name) {
		return Peer{}, false
	}
	return p.first, true
}

// isFirst reports whether this entry is the second hub behind the entry of that name.
func (p *Peers) isFirst(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.first.name != "" && p.first.name == name
}

// IsRemote reports whether the entry that this one follows is in another data centre.
func (p *Peers) IsRemote() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.remote
}

// Redirect follows one of the entries that a full one has named.
func (p *Peers) Redirect(to []Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	usable := slices.DeleteFunc(slices.Clone(to), func(q Peer) bool { return q.name == p.Name || p.isAvoided(q.name) })
	p.upstream = Peer{}
	if len(usable) > 0 {
		p.upstream = usable[p.Random(len(usable))]
	}
}

// Hubs returns the hubs of all data centres that are known, except this entry.
func (p *Peers) Hubs() (hubs []Hub) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.hubs {
		if h.name != p.Name {
			hubs = append(hubs, h)
		}
	}
	return hubs
}
