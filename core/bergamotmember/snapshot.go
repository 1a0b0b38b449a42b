package bergamotmember

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Snapshot is a read-only copy of the hints at one time.
type Snapshot struct {
	at        time.Time
	liveCount int
	head      Head
	heads     map[string]Head
	states    map[string]State
	targets   map[string]TargetHint
	crashes   []Record
	demand    map[uint64]WorkspaceDemand
}

// TargetHint is the state of a target as reported by an entry.
type TargetHint struct {
	state State
	at    time.Time
}

// State returns Leaving or Dead.
func (t TargetHint) State() State { return t.state }

// ReceivedAt returns when the hint arrived, by the clock of this entry.
func (t TargetHint) ReceivedAt() time.Time { return t.at }

// WorkspaceDemand is the demand for one workspace at this entry and at all live entries that announced it.
type WorkspaceDemand struct {
	own     uint64
	total   uint64
	entries int
}

// Own returns the requests per second at this entry.
func (s WorkspaceDemand) Own() uint64 { return s.own }

// Total returns the requests per second at all live entries, including this one.
func (s WorkspaceDemand) Total() uint64 { return s.total }

// Entries returns the number of live entries that announced demand, including this one.
func (s WorkspaceDemand) Entries() int { return s.entries }

// Snapshot returns the current hints; the result may be up to 0.2 s old.
func (n *Node) Snapshot(now time.Time) *Snapshot {
	if n.snapshot != nil && (!n.dirty || now.Sub(n.snapshot.at) < minSnapshotInterval) {
		return n.snapshot
	}
	p := &Snapshot{
		at: now, head: n.head, heads: map[string]Head{n.self.name: n.head}, states: map[string]State{},
		targets: map[string]TargetHint{}, demand: map[uint64]WorkspaceDemand{},
	}
	for name, h := range n.heads {
		p.heads[name] = h
	}
	for i, h := range n.store.records {
		if h.isLive(now) {
			n.addToSnapshot(p, i, h)
		}
	}
	slices.SortFunc(p.crashes, func(a, b Record) int { return strings.Compare(a.key, b.key) })
	n.snapshot, n.dirty = p, false
	return p
}

func (n *Node) addToSnapshot(p *Snapshot, i id, h *storedRecord) {
	switch i.kind {
	case KindMember:
		p.states[i.key] = h.record.state
		if h.record.state <= Suspected {
			p.liveCount++
		}
	case KindTarget:
		p.targets[i.key] = TargetHint{state: h.record.state, at: h.at}
	case KindCrash:
		p.crashes = append(p.crashes, h.currentRecord(p.at))
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

// LiveCount returns the number of live entries, including this one; a suspected entry counts as live until it is dead.
func (p *Snapshot) LiveCount() int { return p.liveCount }

// Head returns the newest head that any member reported.
func (p *Snapshot) Head() Head { return p.head }

// MemberHead returns the newest head that a member reported as its own.
func (p *Snapshot) MemberHead(name string) (h Head, ok bool) {
	h, ok = p.heads[name]
	return h, ok
}

// Members returns the sorted names of the known members, including this one.
func (p *Snapshot) Members() []string { return slices.Sorted(maps.Keys(p.states)) }

// State returns the state of a member.
func (p *Snapshot) State(name string) (s State, ok bool) {
	s, ok = p.states[name]
	return s, ok
}

// TargetHint returns the hint about a target.
func (p *Snapshot) TargetHint(name string) (t TargetHint, ok bool) {
	t, ok = p.targets[name]
	return t, ok
}

// TargetHints returns the hints about targets by name; the caller must not modify the map.
func (p *Snapshot) TargetHints() map[string]TargetHint { return p.targets }

// Crashes returns the records of requests that are confirmed to crash targets; the caller must not modify the slice.
func (p *Snapshot) Crashes() []Record { return p.crashes }

// WorkspaceDemand returns the demand for a workspace; ok is false if no live entry announced it among its highest.
func (p *Snapshot) WorkspaceDemand(workspace string) (s WorkspaceDemand, ok bool) {
	s, ok = p.demand[WorkspaceID(workspace)]
	return s, ok
}
