package bergamotmember

import (
	"maps"
	"slices"
	"time"
)

// Send is a heartbeat that is due.
type Send struct {
	to      Peer
	message Message
}

// To returns the peer to send to.
func (s Send) To() Peer { return s.to }

// Message returns the heartbeat.
func (s Send) Message() Message { return s.message }

// Tick runs what is due and returns the heartbeats to send; one that ends in neither Answered nor Failed
// counts as not sent.
func (n *Node) Tick(now time.Time) (out []Send) {
	if !now.Before(n.nextSweep) {
		n.nextSweep = now.Add(sweeping)
		n.sweep(now)
	}
	if now.Before(n.next) {
		return nil
	}
	n.next = now.Add(period)
	n.choose(now)
	if len(n.partners) > 0 {
		n.turn++
		out = append(out, n.beat(now, n.partners[n.turn%len(n.partners)]))
	}
	if !now.Before(n.nextRevive) {
		n.nextRevive = now.Add(revival)
		if name, ok := n.random(func(s State, ok bool) bool { return ok && s >= Suspected }); ok {
			out = append(out, n.beat(now, name))
		}
	}
	return out
}

// Wait returns how long after now the next Tick is due.
func (n *Node) Wait(now time.Time) time.Duration { return max(n.next.Sub(now), 0) }

func (n *Node) beat(now time.Time, to string) Send {
	s := MessageSpec{Wants: n.wants[to]}
	delete(n.wants, to)
	if n.beats++; n.beats%digestEvery == 0 || n.behind {
		s.Buckets = slices.Clone(n.store.buckets[:])
	}
	if state, ok := n.state(to); ok && state != Alive {
		// The peer can object only to what it knows of.
		n.owe(to, id{KindMember, to})
	}
	s.Records = n.store.pick(now, to, n.take(to))
	return Send{to: n.known[to], message: n.message(s)}
}

// choose keeps the partners at their count and replaces one of them from time to time.
func (n *Node) choose(now time.Time) {
	if !now.Before(n.nextSwap) {
		if len(n.partners) == partnerCount {
			k := n.rng.IntN(len(n.partners))
			n.partners = slices.Delete(n.partners, k, k+1)
		}
		n.nextSwap = now.Add(rotation/2 + time.Duration(n.rng.Int64N(int64(rotation))))
	}
	for len(n.partners) < partnerCount {
		name, ok := n.random(func(s State, _ bool) bool { return s == Alive })
		if !ok {
			return
		}
		n.partners = append(n.partners, name)
	}
}

// random returns a random known peer that is no partner and fits.
func (n *Node) random(fits func(s State, ok bool) bool) (name string, ok bool) {
	var list []string
	for p := range n.known {
		if !slices.Contains(n.partners, p) && fits(n.state(p)) {
			list = append(list, p)
		}
	}
	if len(list) == 0 {
		return "", false
	}
	slices.Sort(list)
	return list[n.rng.IntN(len(list))], true
}

// sweep ends suspicions and lifetimes.
func (n *Node) sweep(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(n.suspects)) {
		if now.Before(n.suspects[name]) {
			continue
		}
		delete(n.suspects, name)
		h, ok := n.store.all[id{KindMember, name}]
		if !ok || h.record.state != Suspected {
			continue
		}
		r := h.record
		r.state = Dead
		n.keep(now, r, "")
		// All members reach this conclusion at about the same time, so that one send is enough.
		n.store.heat(n.store.all[r.id()], 1)
	}
	for name := range n.known {
		h, ok := n.store.all[id{KindMember, name}]
		if ok && h.record.state >= Dead && now.Sub(h.at) > forgetting {
			n.store.remove(id{KindMember, name})
			n.dirty = true
		}
	}
	if n.store.sweep(now) {
		n.dirty = true
	}
}
