package bergamotmember

import (
	"maps"
	"slices"
	"time"
)

// Heartbeat is a heartbeat that is due, with its receiver.
type Heartbeat struct {
	to      Peer
	message Message
}

// To returns the peer to which to send the message.
func (s Heartbeat) To() Peer { return s.to }

// Message returns the message to send.
func (s Heartbeat) Message() Message { return s.message }

// Tick performs the work that is due and returns the heartbeats to send. The caller passes the result of each to
// HandleReply or HandleFailure; a heartbeat without a result counts as not sent.
func (n *Node) Tick(now time.Time) (out []Heartbeat) {
	if !now.Before(n.nextSweep) {
		n.nextSweep = now.Add(sweepInterval)
		n.sweep(now)
	}
	if now.Before(n.nextHeartbeat) {
		return nil
	}
	n.nextHeartbeat = now.Add(heartbeatInterval)
	n.choosePartners(now)
	if len(n.partners) > 0 {
		n.partnerIndex++
		out = append(out, n.newHeartbeat(now, n.partners[n.partnerIndex%len(n.partners)]))
	}
	if !now.Before(n.nextDeadProbe) {
		n.nextDeadProbe = now.Add(deadProbeInterval)
		if name, ok := n.randomPeer(func(s State, ok bool) bool { return ok && s >= Suspected }); ok {
			out = append(out, n.newHeartbeat(now, name))
		}
	}
	return out
}

// UntilTick returns the time from now until Tick must be called again.
func (n *Node) UntilTick(now time.Time) time.Duration { return max(n.nextHeartbeat.Sub(now), 0) }

func (n *Node) newHeartbeat(now time.Time, to string) Heartbeat {
	s := MessageSpec{Requested: n.requested[to]}
	delete(n.requested, to)
	if n.heartbeatCount++; n.heartbeatCount%heartbeatsPerComparison == 0 || n.isBehind {
		s.BucketHashes = slices.Clone(n.store.bucketHashes[:])
	}
	if state, ok := n.state(to); ok && state != Alive {
		// The peer can refute a record only after it received it.
		n.addPending(to, id{KindMember, to})
	}
	s.Records = n.store.selectRecords(now, to, n.takePending(to))
	return Heartbeat{to: n.known[to], message: n.message(s)}
}

// choosePartners fills up the partners to partnerCount and replaces one of them at intervals.
func (n *Node) choosePartners(now time.Time) {
	if !now.Before(n.nextRotation) {
		if len(n.partners) == partnerCount {
			k := n.rng.IntN(len(n.partners))
			n.partners = slices.Delete(n.partners, k, k+1)
		}
		n.nextRotation = now.Add(partnerRotation/2 + time.Duration(n.rng.Int64N(int64(partnerRotation))))
	}
	for len(n.partners) < partnerCount {
		name, ok := n.randomPeer(func(s State, _ bool) bool { return s == Alive })
		if !ok {
			return
		}
		n.partners = append(n.partners, name)
	}
}

// randomPeer returns a random known peer that is not a partner and whose state matches.
func (n *Node) randomPeer(matches func(s State, ok bool) bool) (name string, ok bool) {
	var list []string
	for p := range n.known {
		if !slices.Contains(n.partners, p) && matches(n.state(p)) {
			list = append(list, p)
		}
	}
	if len(list) == 0 {
		return "", false
	}
	slices.Sort(list)
	return list[n.rng.IntN(len(list))], true
}

// sweep declares suspected members dead after their timeout, and removes expired records and members that are long
// gone.
func (n *Node) sweep(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(n.suspicionEnds)) {
		if now.Before(n.suspicionEnds[name]) {
			continue
		}
		delete(n.suspicionEnds, name)
		h, ok := n.store.records[id{KindMember, name}]
		if !ok || h.record.state != Suspected {
			continue
		}
		r := h.record
		r.state = Dead
		n.applyRecord(now, r, "")
		// All members declare it dead at about the same time, so one send is enough.
		n.store.setSendsLeft(n.store.records[r.id()], 1)
	}
	for name := range n.known {
		h, ok := n.store.records[id{KindMember, name}]
		if ok && h.record.state >= Dead && now.Sub(h.at) > deadRetention {
			n.store.remove(id{KindMember, name})
			n.dirty = true
		}
	}
	if n.store.sweep(now) {
		n.dirty = true
	}
}
