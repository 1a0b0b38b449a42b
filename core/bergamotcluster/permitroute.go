package bergamotcluster

import (
	"time"

	"bergamotspur/core/bergamotmirror"
)

// maxWays is the number of entries over which a query for permits is tried.
const maxWays = 3

// PermitRoute knows the ways to the entry that gives out permits of runners with limits, which is the holder of the placement lease. Followers
// ask the entry that they follow, hubs the holder, or one of the hubs that look for the lease and so know it.
type PermitRoute struct {
	Clock  interface{ Now() time.Time }
	Views  interface{ View() *View }
	Peers  *bergamotmirror.Peers
	Self   func() bergamotmirror.Peer // this entry
	Centre string                     // data centre of this entry
	// IsGivingUp reports whether this entry is about to give the lease up.
	IsGivingUp func() bool
}

// IsOwner reports whether this entry may give out permits now.
func (r *PermitRoute) IsOwner() bool {
	return r.Views.View().PlacementGrant().Valid(r.Clock.Now()) && !r.IsGivingUp()
}

// Toward returns the entries over which the holder may be reached, the best one first.
func (r *PermitRoute) Toward() (ways []bergamotmirror.Peer) {
	self := r.Self()
	add := func(p bergamotmirror.Peer) {
		for _, w := range ways {
			if w.Address() == p.Address() {
				return
			}
		}
		if p.Address() != "" && p.Address() != self.Address() && len(ways) < maxWays {
			ways = append(ways, p)
		}
	}
	if holder := r.Views.View().LeaseHolder(); holder != "" && holder != self.Address() {
		add(bergamotmirror.NewPeer(holder, holder))
	}
	if upstream, ok := r.Peers.Upstream(false); ok {
		add(upstream)
	}
	if rank := r.Peers.Rank(); rank >= 0 && rank < CandidateCount {
		return ways // it looks for the lease itself, and knows no less than the others
	}
	hubs := r.Peers.Hubs()
	for _, h := range hubs[:min(len(hubs), CandidateCount)] {
		add(h.Peer)
	}
	return ways
}

// Lead returns the hub that passes on what is known of the runners of this data centre, if this entry is the other hub there: entries that
// follow this one learn it from here, but nobody else does.
func (r *PermitRoute) Lead() (peer bergamotmirror.Peer, ok bool) {
	if !r.Peers.IsHub() || r.Peers.IsLead() {
		return peer, false
	}
	for _, h := range r.Peers.Hubs() {
		if h.Centre() == r.Centre {
			return h.Peer, true
		}
	}
	return peer, false
}
