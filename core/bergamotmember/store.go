package bergamotmember

import (
	"cmp"
	"slices"
	"time"
)

// maxSends is the highest number in sendsPerKind.
const maxSends = 10

// sendsPerKind is the number of times that a record is sent to members that already have it, before it is no longer
// spread. With 3 for all kinds, news of a dead target took more than 12 s to reach 40 members, since gossip missed some
// of them and only the comparison of buckets repaired this. Demand gets fewer sends, since it is most of the traffic.
var sendsPerKind = map[Kind]int{KindMember: 8, KindTarget: 10, KindCrash: 10, KindDemand: 9}

// maxPerKind is the maximum number of stored records of each kind, so that a flood of hints cannot exhaust the memory.
var maxPerKind = map[Kind]int{KindMember: 2048, KindTarget: 4096, KindCrash: 256, KindDemand: 2048}

// storedRecord is a record with the state that this member needs to spread and expire it.
type storedRecord struct {
	record    Record
	at        time.Time // time of arrival
	expiresAt time.Time // zero for member records
	source    string    // peer that sent it, empty for records of this member
	sendsLeft int       // sends until it is no longer spread
	expired   bool      // kept although expired, so that an older record is not accepted again
}

// currentRecord returns the record with its remaining TTL.
func (h *storedRecord) currentRecord(now time.Time) Record {
	r := h.record
	if !h.expiresAt.IsZero() {
		r.ttl = h.expiresAt.Sub(now)
	}
	return r
}

// isLive reports whether the record has not expired at the given time.
func (h *storedRecord) isLive(now time.Time) bool {
	return !h.expired && (h.expiresAt.IsZero() || now.Before(h.expiresAt))
}

// store holds the records that one member knows.
type store struct {
	records       map[id]*storedRecord
	byHash        map[uint32]id
	sendQueues    [KindDemand + 1][maxSends + 1][]*storedRecord // by kind and sends left; may hold stale items, see visitQueue
	counts        map[Kind]int
	bucketHashes  [MaxBuckets]uint32               // XOR of the version hashes of the records in each bucket
	bucketRecords [MaxBuckets]map[id]*storedRecord // records that have not expired, by bucket
}

func newStore() *store {
	s := &store{records: map[id]*storedRecord{}, byHash: map[uint32]id{}, counts: map[Kind]int{}}
	for n := range s.bucketRecords {
		s.bucketRecords[n] = map[id]*storedRecord{}
	}
	return s
}

func bucketOf(i id) int { return int(i.hash() % MaxBuckets) }

// put stores r if it is newer than the stored record, and reports whether it did; full is true if the limit of its kind
// was reached.
func (s *store) put(now time.Time, r Record, source string) (accepted, full bool) {
	i := r.id()
	old, ok := s.records[i]
	if ok && !r.isNewerThan(old.record) {
		return false, false
	}
	if !ok && s.counts[r.kind] >= maxPerKind[r.kind] {
		return false, true
	}
	if ok {
		s.remove(i)
	}
	h := &storedRecord{record: r, at: now, source: source}
	if r.kind != KindMember {
		h.expiresAt = now.Add(r.ttl)
	}
	s.records[i], s.byHash[i.hash()] = h, i
	s.setSendsLeft(h, sendsPerKind[r.kind])
	s.counts[r.kind]++
	s.bucketHashes[bucketOf(i)] ^= r.versionHash()
	s.bucketRecords[bucketOf(i)][i] = h
	return true, false
}

// remove deletes a record, including its version.
func (s *store) remove(i id) {
	h, ok := s.records[i]
	if !ok {
		return
	}
	s.expire(i, h)
	delete(s.records, i)
	delete(s.byHash, i.hash())
	s.counts[i.kind]--
}

// expire excludes a record from comparisons and messages but keeps its version.
func (s *store) expire(i id, h *storedRecord) {
	if h.expired {
		return
	}
	h.expired = true
	s.bucketHashes[bucketOf(i)] ^= h.record.versionHash()
	delete(s.bucketRecords[bucketOf(i)], i)
}

// sweep expires records whose TTL has passed, and removes them after the maximum TTL of their kind has passed once
// more.
func (s *store) sweep(now time.Time) (changed bool) {
	for i, h := range s.records {
		if h.isLive(now) || h.expiresAt.IsZero() {
			continue
		}
		changed = changed || !h.expired
		s.expire(i, h)
		if !now.Before(h.expiresAt.Add(maxTTLs[i.kind])) {
			s.remove(i)
		}
	}
	return changed
}

// findLive returns the record of an id; ok is false if there is none or it has expired.
func (s *store) findLive(now time.Time, i id) (h *storedRecord, ok bool) {
	h, ok = s.records[i]
	return h, ok && h.isLive(now)
}

// selectRecords returns the records of a message to a member: first those pending for it, then the other records to
// spread, by kind and with the most sends left first.
func (s *store) selectRecords(now time.Time, to string, pending []id) (out []Record) {
	remaining, taken := maxRecordBytes, map[id]bool{}
	add := func(i id, h *storedRecord) bool {
		if taken[i] || !h.isLive(now) || h.record.Size() > remaining || len(out) == MaxRecords {
			return false
		}
		taken[i] = true
		remaining -= h.record.Size()
		out = append(out, h.currentRecord(now))
		return true
	}
	for _, i := range pending {
		if h, ok := s.records[i]; ok {
			add(i, h)
		}
	}
	for kind := range s.sendQueues {
		for sends := maxSends; sends > 0 && remaining >= minRecordSize && len(out) < MaxRecords; sends-- {
			s.visitQueue(kind, sends, func(h *storedRecord) bool {
				if h.source != to {
					add(h.record.id(), h)
				}
				return remaining >= minRecordSize && len(out) < MaxRecords
			})
		}
	}
	return out
}

// minRecordSize is the size of the smallest record in a message, in bytes.
const minRecordSize = 16

// visitQueue calls visit for the records in a send queue until it returns false, and drops stale items on the way. It
// starts with the latest, so that new records are not delayed by the backlog of a cold start.
func (s *store) visitQueue(kind, sends int, visit func(h *storedRecord) bool) {
	list := s.sendQueues[kind][sends]
	kept, n := len(list), len(list)
	for more := true; n > 0 && more; n-- {
		if h := list[n-1]; h.sendsLeft == sends && !h.expired {
			kept--
			list[kept] = h
			more = visit(h)
		}
	}
	s.sendQueues[kind][sends] = append(list[:n], list[kept:]...)
}

// setSendsLeft sets the sends left of a record and adds it to the send queue for that number.
func (s *store) setSendsLeft(h *storedRecord, sends int) {
	kind := int(h.record.kind)
	if h.sendsLeft = sends; sends <= 0 {
		return
	}
	if len(s.sendQueues[kind][sends]) >= 2*maxPerKind[h.record.kind] {
		s.visitQueue(kind, sends, func(*storedRecord) bool { return true })
	}
	s.sendQueues[kind][sends] = append(s.sendQueues[kind][sends], h)
}

// countSend counts one send of a record to a member that already had it.
func (s *store) countSend(i id) {
	if h, ok := s.records[i]; ok && h.sendsLeft > 0 && !h.expired {
		s.setSendsLeft(h, h.sendsLeft-1)
	}
}

// summaries returns the summaries of up to MaxSummaries records in a bucket, sorted by key hash.
func (s *store) summaries(now time.Time, bucket int) (out []RecordSummary) {
	for i, h := range s.bucketRecords[bucket] {
		if h.isLive(now) {
			out = append(out, RecordSummary{keyHash: i.hash(), versionHash: h.record.versionHash()})
		}
	}
	slices.SortFunc(out, func(a, b RecordSummary) int { return cmp.Compare(a.keyHash, b.keyHash) })
	return out[:min(len(out), MaxSummaries)]
}
