package bergamotmember

import (
	"slices"
	"time"
)

// Receive applies a heartbeat of the authenticated peer and returns the reply.
func (n *Node) Receive(now time.Time, peer string, m Message) (reply Message, err error) {
	if err = n.check(peer, m); err != nil {
		return Message{}, err
	}
	n.hear(now, m)
	s := MessageSpec{Fresh: n.apply(now, m)}
	owed := n.take(peer)
	for _, w := range m.spec.Wants {
		if i, ok := n.store.byHash[w]; ok {
			owed = append(owed, i)
		}
	}
	s.Records = n.store.pick(now, peer, owed)
	for _, r := range s.Records {
		// No reply follows a reply, so that every send counts as one that was no news.
		n.store.sent(r.id())
	}
	for _, bucket := range n.differing(m.spec.Buckets) {
		if len(s.Lines) > MaxLines*3/4 {
			break
		}
		if lines := n.store.lines(now, bucket); len(s.Lines)+len(lines) <= MaxLines {
			s.Listed |= 1 << bucket
			s.Lines = append(s.Lines, lines...)
		}
	}
	return n.message(s), nil
}

// Answered applies the reply to a heartbeat that Tick returned.
func (n *Node) Answered(now time.Time, sent, reply Message, peer string) (err error) {
	if err = n.check(peer, reply); err != nil {
		return err
	}
	n.misses[peer] = 0
	n.hear(now, reply)
	for k, r := range sent.spec.Records {
		if reply.spec.Fresh&(1<<k) == 0 {
			n.store.sent(r.id())
		}
	}
	n.apply(now, reply)
	if len(sent.spec.Buckets) > 0 {
		n.compare(now, peer, reply)
	}
	return nil
}

// Failed tells that a heartbeat got no reply.
func (n *Node) Failed(now time.Time, peer string) {
	n.misses[peer]++
	s, ok := n.state(peer)
	if n.misses[peer] < maxMisses {
		return
	}
	n.partners = slices.DeleteFunc(n.partners, func(p string) bool { return p == peer })
	if !ok || s != Alive {
		return
	}
	h := n.store.all[id{KindMember, peer}]
	n.publish(now, RecordSpec{Kind: KindMember, Key: peer, Version: h.record.version, State: Suspected})
	n.suspects[peer] = now.Add(suspicion)
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

// hear notes that a peer is alive and which head it knows.
func (n *Node) hear(now time.Time, m Message) {
	n.SetHead(m.spec.Head)
	if _, ok := n.heads[m.From()]; !ok || m.spec.Head.Newer(n.heads[m.From()]) {
		n.heads[m.From()] = m.spec.Head
		n.dirty = true
	}
	i := id{KindMember, m.From()}
	r := Record{kind: KindMember, key: m.From(), version: m.spec.Incarnation, state: Alive}
	if h, ok := n.store.all[i]; ok && h.record.newer(r) {
		// The peer can object only to what it knows of.
		n.owe(m.From(), i)
		return
	}
	n.keep(now, r, m.From())
}

// apply keeps the records of a message and returns which were news.
func (n *Node) apply(now time.Time, m Message) (fresh uint64) {
	for k, r := range m.spec.Records {
		if n.keep(now, r, m.From()) {
			fresh |= 1 << k
		}
	}
	return fresh
}

func (n *Node) keep(now time.Time, r Record, from string) (news bool) {
	if r.kind == KindMember && r.key == n.self.name {
		return n.object(now, r)
	}
	if r.kind == KindDemand && r.key == n.self.name {
		return n.overtake(now, r)
	}
	if r.kind == KindMember || r.kind == KindDemand {
		if _, ok := n.known[r.key]; !ok {
			n.rejected["record"]++
			return false
		}
	}
	news, full := n.store.put(now, r, from)
	if full {
		n.rejected["full"]++
	}
	if news {
		n.dirty = true
		if r.kind == KindMember {
			n.follow(now, r)
		}
	}
	return news
}

// object raises the incarnation of this member when others have another state or a later incarnation of it.
func (n *Node) object(now time.Time, r Record) bool {
	if n.leaving || r.version < n.incarnation || (r.version == n.incarnation && r.state == Alive) {
		return false
	}
	n.incarnation = r.version + 1
	n.announce(now, Alive)
	return true
}

// overtake announces this member's demand again when others hold a later announcement of an earlier incarnation.
func (n *Node) overtake(now time.Time, r Record) bool {
	i := id{KindDemand, n.self.name}
	h, ok := n.store.find(now, i)
	if ok && !r.newer(h.record) {
		return false
	}
	s := RecordSpec{Kind: KindDemand, Key: n.self.name, Version: r.version + 1, Left: lifetimes[KindDemand]}
	if ok {
		s.Demand = h.record.demand
	}
	n.publish(now, s)
	return true
}

// follow keeps the timers of a member in step with its state.
func (n *Node) follow(now time.Time, r Record) {
	switch r.state {
	case Alive:
		delete(n.suspects, r.key)
		n.misses[r.key] = 0
	case Suspected:
		n.suspects[r.key] = now.Add(suspicion)
	default:
		delete(n.suspects, r.key)
		n.partners = slices.DeleteFunc(n.partners, func(p string) bool { return p == r.key })
	}
}

// compare finds the records of the listed buckets that differ from a peer's.
func (n *Node) compare(now time.Time, peer string, reply Message) {
	theirs := map[uint32]uint32{}
	for _, l := range reply.spec.Lines {
		theirs[l.key] = l.sum
	}
	var wants []uint32
	var ours []Line
	for bucket := range MaxBuckets {
		if reply.spec.Listed&(1<<bucket) != 0 {
			ours = append(ours, n.store.lines(now, bucket)...)
		}
	}
	for _, l := range ours {
		sum, ok := theirs[l.key]
		delete(theirs, l.key)
		if ok && sum == l.sum {
			continue
		}
		n.owe(peer, n.store.byHash[l.key])
		if ok {
			wants = append(wants, l.key)
		}
	}
	for key := range theirs {
		wants = append(wants, key)
	}
	slices.Sort(wants)
	n.behind = len(wants) >= manyWants
	if len(wants) > 0 {
		n.wants[peer] = wants[:min(len(wants), MaxLines)]
	}
}

// differing returns the buckets whose hash differs from a peer's, in random order.
func (n *Node) differing(buckets []uint32) (list []int) {
	for k, sum := range buckets {
		if sum != n.store.buckets[k] {
			list = append(list, k)
		}
	}
	n.rng.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	return list
}

func (n *Node) owe(peer string, i id) {
	if len(n.owed[peer]) < maxOwed && !slices.Contains(n.owed[peer], i) {
		n.owed[peer] = append(n.owed[peer], i)
	}
}

func (n *Node) take(peer string) []id {
	owed := n.owed[peer]
	delete(n.owed, peer)
	return owed
}

// message completes the fields that every message has.
func (n *Node) message(s MessageSpec) Message {
	s.From, s.Incarnation, s.Head = n.self.name, n.incarnation, n.head
	return Message{spec: s}
}
