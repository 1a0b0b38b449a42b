package bergamotmember

import (
	"slices"
	"time"
)

// Receive processes a heartbeat from the authenticated peer and returns the reply, or ErrUnknownPeer or ErrInvalid.
func (n *Node) Receive(now time.Time, peer string, m Message) (reply Message, err error) {
	if err = n.check(peer, m); err != nil {
		return Message{}, err
	}
	n.updatePeer(now, m)
	s := MessageSpec{Accepted: n.applyRecords(now, m)}
	pending := n.takePending(peer)
	for _, w := range m.spec.Requested {
		if i, ok := n.store.byHash[w]; ok {
			pending = append(pending, i)
		}
	}
	s.Records = n.store.selectRecords(now, peer, pending)
	for _, r := range s.Records {
		// The peer does not acknowledge a reply, so every record in it counts as one that the peer already had.
		n.store.countSend(r.id())
	}
	for _, bucket := range n.differingBuckets(m.spec.BucketHashes) {
		if len(s.Summaries) > MaxSummaries*3/4 {
			break
		}
		if summaries := n.store.summaries(now, bucket); len(s.Summaries)+len(summaries) <= MaxSummaries {
			s.ListedBuckets |= 1 << bucket
			s.Summaries = append(s.Summaries, summaries...)
		}
	}
	return n.message(s), nil
}

// HandleReply processes the reply to a heartbeat that Tick returned. It returns ErrUnknownPeer or ErrInvalid when it
// rejects the reply.
func (n *Node) HandleReply(now time.Time, sent, reply Message, peer string) (err error) {
	if err = n.check(peer, reply); err != nil {
		return err
	}
	n.misses[peer] = 0
	n.updatePeer(now, reply)
	for k, r := range sent.spec.Records {
		if reply.spec.Accepted&(1<<k) == 0 {
			n.store.countSend(r.id())
		}
	}
	n.applyRecords(now, reply)
	if len(sent.spec.BucketHashes) > 0 {
		n.compareSummaries(now, peer, reply)
	}
	return nil
}

// HandleFailure records that a heartbeat got no valid reply; after maxMisses of them in a row the peer is suspected.
func (n *Node) HandleFailure(now time.Time, peer string) {
	n.misses[peer]++
	s, ok := n.state(peer)
	if n.misses[peer] < maxMisses {
		return
	}
	n.partners = slices.DeleteFunc(n.partners, func(p string) bool { return p == peer })
	if !ok || s != Alive {
		return
	}
	h := n.store.records[id{KindMember, peer}]
	n.publish(now, RecordSpec{Kind: KindMember, Key: peer, Version: h.record.version, State: Suspected})
	n.suspicionEnds[peer] = now.Add(suspicionTimeout)
}

func (n *Node) check(peer string, m Message) error {
	if _, ok := n.known[peer]; !ok {
		n.rejected["peer"]++
		return ErrUnknownPeer
	}
	if m.From() != peer {
		n.rejected["message"]++
		return ErrInvalid
	}
	return nil
}

// updatePeer records that the sender of a message is alive and which head it knows.
func (n *Node) updatePeer(now time.Time, m Message) {
	n.SetHead(m.spec.Head)
	if _, ok := n.heads[m.From()]; !ok || m.spec.Head.IsNewerThan(n.heads[m.From()]) {
		n.heads[m.From()] = m.spec.Head
		n.dirty = true
	}
	i := id{KindMember, m.From()}
	r := Record{kind: KindMember, key: m.From(), version: m.spec.Incarnation, state: Alive}
	if h, ok := n.store.records[i]; ok && h.record.isNewerThan(r) {
		// The peer can refute a record only after it received it.
		n.addPending(m.From(), i)
		return
	}
	n.applyRecord(now, r, m.From())
}

// applyRecords stores the records of a message and returns a bit set of those that were newer than the stored ones.
func (n *Node) applyRecords(now time.Time, m Message) (accepted uint64) {
	for k, r := range m.spec.Records {
		if n.applyRecord(now, r, m.From()) {
			accepted |= 1 << k
		}
	}
	return accepted
}

func (n *Node) applyRecord(now time.Time, r Record, from string) (accepted bool) {
	if r.kind == KindMember && r.key == n.self.name {
		return n.refute(now, r)
	}
	if r.kind == KindDemand && r.key == n.self.name {
		return n.reannounceDemand(now, r)
	}
	if r.kind == KindMember || r.kind == KindDemand {
		if _, ok := n.known[r.key]; !ok {
			n.rejected["record"]++
			return false
		}
	}
	accepted, full := n.store.put(now, r, from)
	if full {
		n.rejected["full"]++
	}
	if accepted {
		n.dirty = true
		if r.kind == KindMember {
			n.updateSuspicion(now, r)
		}
	}
	return accepted
}

// refute raises the incarnation of this member and announces it as alive, if a record gives it another state or a later
// incarnation.
func (n *Node) refute(now time.Time, r Record) bool {
	if n.leaving || r.version < n.incarnation || (r.version == n.incarnation && r.state == Alive) {
		return false
	}
	n.incarnation = r.version + 1
	n.announceState(now, Alive)
	return true
}

// reannounceDemand announces the demand of this member with a higher version, if other members hold a later
// announcement that it made before a restart.
func (n *Node) reannounceDemand(now time.Time, r Record) bool {
	i := id{KindDemand, n.self.name}
	h, ok := n.store.findLive(now, i)
	if ok && !r.isNewerThan(h.record) {
		return false
	}
	s := RecordSpec{Kind: KindDemand, Key: n.self.name, Version: r.version + 1, TTL: maxTTLs[KindDemand]}
	if ok {
		s.Demand = h.record.demand
	}
	n.publish(now, s)
	return true
}

// updateSuspicion updates the suspicion timer, the missed heartbeats and the partners after the state of a member
// changed.
func (n *Node) updateSuspicion(now time.Time, r Record) {
	switch r.state {
	case Alive:
		delete(n.suspicionEnds, r.key)
		n.misses[r.key] = 0
	case Suspected:
		n.suspicionEnds[r.key] = now.Add(suspicionTimeout)
	default:
		delete(n.suspicionEnds, r.key)
		n.partners = slices.DeleteFunc(n.partners, func(p string) bool { return p == r.key })
	}
}

// compareSummaries compares the records in the listed buckets with the summaries of a peer. It queues the records that
// the peer lacks and requests those that differ or that this member lacks.
func (n *Node) compareSummaries(now time.Time, peer string, reply Message) {
	theirs := map[uint32]uint32{}
	for _, l := range reply.spec.Summaries {
		theirs[l.keyHash] = l.versionHash
	}
	var requested []uint32
	var ours []RecordSummary
	for bucket := range MaxBuckets {
		if reply.spec.ListedBuckets&(1<<bucket) != 0 {
			ours = append(ours, n.store.summaries(now, bucket)...)
		}
	}
	for _, l := range ours {
		versionHash, ok := theirs[l.keyHash]
		delete(theirs, l.keyHash)
		if ok && versionHash == l.versionHash {
			continue
		}
		n.addPending(peer, n.store.byHash[l.keyHash])
		if ok {
			requested = append(requested, l.keyHash)
		}
	}
	for keyHash := range theirs {
		requested = append(requested, keyHash)
	}
	slices.Sort(requested)
	n.isBehind = len(requested) >= behindThreshold
	if len(requested) > 0 {
		n.requested[peer] = requested[:min(len(requested), MaxSummaries)]
	}
}

// differingBuckets returns, in random order, the buckets whose hashes differ from those of a peer.
func (n *Node) differingBuckets(bucketHashes []uint32) (list []int) {
	for k, hash := range bucketHashes {
		if hash != n.store.bucketHashes[k] {
			list = append(list, k)
		}
	}
	n.rng.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	return list
}

func (n *Node) addPending(peer string, i id) {
	if len(n.pending[peer]) < maxPending && !slices.Contains(n.pending[peer], i) {
		n.pending[peer] = append(n.pending[peer], i)
	}
}

func (n *Node) takePending(peer string) []id {
	pending := n.pending[peer]
	delete(n.pending, peer)
	return pending
}

// message sets the fields that every message has.
func (n *Node) message(s MessageSpec) Message {
	s.From, s.Incarnation, s.Head = n.self.name, n.incarnation, n.head
	return Message{spec: s}
}
