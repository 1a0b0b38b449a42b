package bergamotmember

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Picture is a read-only copy of the hints at one time.
type Picture struct {
	at      time.Time
	live    int
	head    Head
	heads   map[string]Head
	states  map[string]State
	targets map[string]Target
	crashes []Record
	demand  map[uint64]Share
}

// Target is the hint about a target.
type Target struct {
	state State
	at    time.Time
}

// State returns Leaving or Dead.
func (t Target) State() State { return t.state }

// At returns when the hint arrived, by the clock of this entry.
func (t Target) At() time.Time { return t.at }

// Share is the demand for one workspace at this entry and at all live entries that announced it.
type Share struct {
	own     uint64
	total   uint64
	entries int
}

// Own returns the requests a second at this entry.
func (s Share) Own() uint64 { return s.own }

// Total returns the requests a second at all live entries, this one included.
func (s Share) Total() uint64 { return s.total }

// Entries returns how many live entries announced demand, this one included.
func (s Share) Entries() int { return s.entries }

// Picture returns the hints; it is at most 0.2 s old.
func (n *Node) Picture(now time.Time) *Picture {
	if n.picture != nil && (!n.dirty || now.Sub(n.picture.at) < pictureAge) {
		return n.picture
	}
	p := &Picture{
		at: now, head: n.head, heads: map[string]Head{n.self.name: n.head}, states: map[string]State{},
		targets: map[string]Target{}, demand: map[uint64]Share{},
	}
	for name, h := range n.heads {
		p.heads[name] = h
	}
	for i, h := range n.store.all {
		if h.live(now) {
			n.draw(p, i, h)
		}
	}
	slices.SortFunc(p.crashes, func(a, b Record) int { return strings.Compare(a.key, b.key) })
	n.picture, n.dirty = p, false
	return p
}

func (n *Node) draw(p *Picture, i id, h *held) {
	switch i.kind {
	case KindMember:
		p.states[i.key] = h.record.state
		if h.record.state <= Suspected {
			p.live++
		}
	case KindTarget:
		p.targets[i.key] = Target{state: h.record.state, at: h.at}
	case KindCrash:
		p.crashes = append(p.crashes, h.left(p.at))
	case KindDemand:
		if s, ok := n.state(i.key); !ok || s > Suspected {
			return
		}
		for _, d := range h.record.demand {
			s := p.demand[d.workspace]
			s.entries++
			s.total += uint64(d.rate)
			if i.key == n.self.name {
				s.own = uint64(d.rate)
			}
			p.demand[d.workspace] = s
		}
	}
}

// Live returns how many entries count as live, this one included; a suspected one counts until it is dead.
func (p *Picture) Live() int { return p.live }

// Head returns the newest head that any member told.
func (p *Picture) Head() Head { return p.head }

// MemberHead returns the newest head that a member itself told.
func (p *Picture) MemberHead(name string) (h Head, ok bool) {
	h, ok = p.heads[name]
	return h, ok
}

// Members returns the names of the members of which anything was heard, this one included, in order.
func (p *Picture) Members() []string { return slices.Sorted(maps.Keys(p.states)) }

// State returns the state of a member.
func (p *Picture) State(name string) (s State, ok bool) {
	s, ok = p.states[name]
	return s, ok
}

// Target returns the hint about a target.
func (p *Picture) Target(name string) (t Target, ok bool) {
	t, ok = p.targets[name]
	return t, ok
}

// Targets returns the hints about targets; the caller must not change the map.
func (p *Picture) Targets() map[string]Target { return p.targets }

// Crashes returns the requests that were confirmed to crash targets; the caller must not change the slice.
func (p *Picture) Crashes() []Record { return p.crashes }

// Share returns the demand for a workspace; ok is false when no entry counts it among those with most demand.
func (p *Picture) Share(workspace string) (s Share, ok bool) {
	s, ok = p.demand[WorkspaceID(workspace)]
	return s, ok
}
