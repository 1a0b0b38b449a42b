package bergamotmember

import (
	"cmp"
	"slices"
	"time"
)

// hotSends is how often a record is passed on to members that already have it. With 3 for all kinds a dead target
// took over 12 s to reach 40 members, since gossip missed some and only digests repaired them. Demand gets fewer
// sends, as it is most of the traffic.
const maxHot = 10

var hotSends = map[Kind]int{KindMember: 8, KindTarget: 10, KindCrash: 10, KindDemand: 9}

// capacities bound the records of each kind, so that a flood of hints cannot grow the memory.
var capacities = map[Kind]int{KindMember: 2048, KindTarget: 4096, KindCrash: 256, KindDemand: 2048}

// held is a record with what this member knows about passing it on.
type held struct {
	record  Record
	at      time.Time // when it arrived
	expires time.Time // zero for members
	from    string    // who sent it, empty for own records
	hot     int       // sends left
	gone    bool      // expired; kept so that an older record does not come back
}

// left returns the record with its remaining lifetime.
func (h *held) left(now time.Time) Record {
	r := h.record
	if !h.expires.IsZero() {
		r.left = h.expires.Sub(now)
	}
	return r
}

// live tells whether the record is valid at the given time.
func (h *held) live(now time.Time) bool {
	return !h.gone && (h.expires.IsZero() || now.Before(h.expires))
}

// store keeps the records of one member.
type store struct {
	all     map[id]*held
	byHash  map[uint32]id
	hot     [KindDemand + 1][maxHot + 1][]*held // by kind and sends left; one whose count has changed is skipped
	counts  map[Kind]int
	buckets [MaxBuckets]uint32
	members [MaxBuckets]map[id]*held
}

func newStore() *store {
	s := &store{all: map[id]*held{}, byHash: map[uint32]id{}, counts: map[Kind]int{}}
	for n := range s.members {
		s.members[n] = map[id]*held{}
	}
	return s
}

func bucketOf(i id) int { return int(i.hash() % MaxBuckets) }

// put keeps r when it is news and tells whether it was; full is true when there was no room.
func (s *store) put(now time.Time, r Record, from string) (news, full bool) {
	i := r.id()
	old, ok := s.all[i]
	if ok && !r.newer(old.record) {
		return false, false
	}
	if !ok && s.counts[r.kind] >= capacities[r.kind] {
		return false, true
	}
	if ok {
		s.remove(i)
	}
	h := &held{record: r, at: now, from: from}
	if r.kind != KindMember {
		h.expires = now.Add(r.left)
	}
	s.all[i], s.byHash[i.hash()] = h, i
	s.heat(h, hotSends[r.kind])
	s.counts[r.kind]++
	s.buckets[bucketOf(i)] ^= r.sum()
	s.members[bucketOf(i)][i] = h
	return true, false
}

// remove forgets a record and its version.
func (s *store) remove(i id) {
	h, ok := s.all[i]
	if !ok {
		return
	}
	s.hide(i, h)
	delete(s.all, i)
	delete(s.byHash, i.hash())
	s.counts[i.kind]--
}

// hide takes a record out of digests and messages but keeps its version.
func (s *store) hide(i id, h *held) {
	if h.gone {
		return
	}
	h.gone = true
	s.buckets[bucketOf(i)] ^= h.record.sum()
	delete(s.members[bucketOf(i)], i)
}

// sweep hides expired records and, after another lifetime, forgets them.
func (s *store) sweep(now time.Time) (changed bool) {
	for i, h := range s.all {
		if h.live(now) || h.expires.IsZero() {
			continue
		}
		changed = changed || !h.gone
		s.hide(i, h)
		if !now.Before(h.expires.Add(lifetimes[i.kind])) {
			s.remove(i)
		}
	}
	return changed
}

// find returns the live record of an id.
func (s *store) find(now time.Time, i id) (h *held, ok bool) {
	h, ok = s.all[i]
	return h, ok && h.live(now)
}

// pick fills a message for a member: first the records owed to it, then hot ones by kind, the least sent first.
func (s *store) pick(now time.Time, to string, owed []id) (out []Record) {
	room, taken := maxBytes, map[id]bool{}
	add := func(i id, h *held) bool {
		if taken[i] || !h.live(now) || h.record.Size() > room || len(out) == MaxRecords {
			return false
		}
		taken[i] = true
		room -= h.record.Size()
		out = append(out, h.left(now))
		return true
	}
	for _, i := range owed {
		if h, ok := s.all[i]; ok {
			add(i, h)
		}
	}
	for kind := range s.hot {
		for level := maxHot; level > 0 && room >= minRecord && len(out) < MaxRecords; level-- {
			s.scan(kind, level, func(h *held) bool {
				if h.from != to {
					add(h.record.id(), h)
				}
				return room >= minRecord && len(out) < MaxRecords
			})
		}
	}
	return out
}

// minRecord is the size of the smallest record.
const minRecord = 16

// scan visits the records of one kind with the same sends left until visit returns false, and drops those that
// are no longer such. The latest comes first, so that news overtakes the backlog of a cold start.
func (s *store) scan(kind, level int, visit func(h *held) bool) {
	list := s.hot[kind][level]
	kept, n := len(list), len(list)
	for more := true; n > 0 && more; n-- {
		if h := list[n-1]; h.hot == level && !h.gone {
			kept--
			list[kept] = h
			more = visit(h)
		}
	}
	s.hot[kind][level] = append(list[:n], list[kept:]...)
}

// heat sets the sends left of a record.
func (s *store) heat(h *held, level int) {
	kind := int(h.record.kind)
	if h.hot = level; level <= 0 {
		return
	}
	if len(s.hot[kind][level]) >= 2*capacities[h.record.kind] {
		s.scan(kind, level, func(*held) bool { return true })
	}
	s.hot[kind][level] = append(s.hot[kind][level], h)
}

// sent counts one send of a record that was no news to its receiver.
func (s *store) sent(i id) {
	if h, ok := s.all[i]; ok && h.hot > 0 && !h.gone {
		s.heat(h, h.hot-1)
	}
}

// lines lists a bucket.
func (s *store) lines(now time.Time, bucket int) (out []Line) {
	for i, h := range s.members[bucket] {
		if h.live(now) {
			out = append(out, Line{key: i.hash(), sum: h.record.sum()})
		}
	}
	slices.SortFunc(out, func(a, b Line) int { return cmp.Compare(a.key, b.key) })
	return out[:min(len(out), MaxLines)]
}
