package bergamotrate

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxLimits is more than the number of runners of a deployment.
	maxLimits = 8192
	// endTTL is how long the end of a limit is kept for entries that have not learned it yet.
	endTTL = time.Minute
)

// Clock provides the current time and timers.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// Registry holds the latest limit of each process. It may be used concurrently.
type Registry struct {
	Clock     Clock
	StoreTime func() (t time.Duration, ok bool) // current time of the store's clock

	onChange func(l, before Limit) // called for each limit that begins, changes or ends, with the one before; nil for none
	active   atomic.Int64          // limits in force
	mu       sync.Mutex
	version  int64 // of the latest change
	records  map[string]record
	changed  chan struct{} // closed and replaced at each change
}

// record is a limit in a registry.
type record struct {
	limit   Limit
	own     bool // this entry has it from the runner, or from an entry that follows this one
	version int64
	since   time.Time // when it was put into the registry
}

// Any reports whether any limit is in force.
func (b *Registry) Any() bool { return b.active.Load() > 0 }

// named records that a process has named a limit in an answer, and returns it if that is new.
func (b *Registry) named(process string, rate float64) (news []Limit) {
	return b.Learn([]Limit{NewLimit(process, rate, b.timeOfAnswer(process))}, true)
}

// unnamed records that a process has named no limit in an answer, and returns the end of its limit if there was one.
func (b *Registry) unnamed(process string) (news []Limit) {
	if _, ok := b.Rate(process); !ok {
		return nil
	}
	return b.Learn([]Limit{NewEnd(process, b.timeOfAnswer(process))}, true)
}

// timeOfAnswer returns the time of the store's clock for an answer of a process, 0 if that clock is not known: such a limit gives way to any
// with a time, and the next answer says it again. An answer to this entry always counts, also if the store's clock has gone back in a restore,
// or another entry has a later estimate of it.
func (b *Registry) timeOfAnswer(process string) time.Duration {
	now, _ := b.StoreTime()
	b.mu.Lock()
	defer b.mu.Unlock()
	if r, known := b.records[process]; known {
		return max(now, r.limit.at+1)
	}
	return now
}

// Learn records limits and returns those that change what the registry says. If own is set, they come from the runners themselves, or from
// entries that follow this one.
func (b *Registry) Learn(limits []Limit, own bool) (news []Limit) {
	b.mu.Lock()
	if b.records == nil {
		b.records = map[string]record{}
	}
	var before []Limit
	for _, l := range limits {
		if old, ok := b.put(l, own); ok {
			news, before = append(news, l), append(before, old)
		}
	}
	if len(news) > 0 {
		b.expire()
		if b.changed != nil {
			close(b.changed)
			b.changed = nil
		}
	}
	b.mu.Unlock()
	for i, l := range news {
		if b.onChange != nil {
			b.onChange(l, before[i])
		}
	}
	return news
}

// put records one limit, and returns the one before if that said otherwise. The caller holds the lock.
func (b *Registry) put(l Limit, own bool) (before Limit, changes bool) {
	old, known := b.records[l.process]
	if l.process == "" || !known && (l.ended || len(b.records) >= maxLimits) || known && !l.isNewer(old.limit) {
		return before, false
	}
	if known && l.says(old.limit) {
		old.limit, old.own = l, old.own || own
		b.records[l.process] = old
		return before, false
	}
	if !known {
		old.limit = NewEnd(l.process, 0)
	}
	b.active.Add(inForce(l) - inForce(old.limit))
	b.version++
	b.records[l.process] = record{limit: l, own: own, version: b.version, since: b.Clock.Now()}
	return old.limit, true
}

// inForce returns 1 for a limit that has not ended.
func inForce(l Limit) int64 {
	if l.ended {
		return 0
	}
	return 1
}

// expire removes the ends that all entries have learned by now. The caller holds the lock.
func (b *Registry) expire() {
	for process, r := range b.records {
		if r.limit.ended && b.Clock.Now().Sub(r.since) > endTTL {
			delete(b.records, process)
		}
	}
}

// Retain removes the limits of processes that are gone for longer than endTTL.
func (b *Registry) Retain(isKnown func(process string) bool) {
	if !b.Any() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for process, r := range b.records {
		if !r.limit.ended && !isKnown(process) && b.Clock.Now().Sub(r.since) > endTTL {
			b.active.Add(-1)
			delete(b.records, process)
		}
	}
}

// Rate returns the limit of a process in requests a second; ok is false if it has none.
func (b *Registry) Rate(process string) (rate float64, ok bool) {
	if !b.Any() {
		return 0, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	r, known := b.records[process]
	return r.limit.rate, known && !r.limit.ended
}

// Limit returns the limit of a process and for how long it has said so; ok is false if it has none.
func (b *Registry) Limit(process string) (l Limit, age time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, known := b.records[process]
	return r.limit, b.Clock.Now().Sub(r.since), known && !r.limit.ended
}

// Limits returns all limits in force, by process.
func (b *Registry) Limits() (out []Limit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.records {
		if !r.limit.ended {
			out = append(out, r.limit)
		}
	}
	slices.SortFunc(out, func(x, y Limit) int { return strings.Compare(x.process, y.process) })
	return out
}

// Since returns the limits that have changed after a version of the registry, the new version, and a channel that is closed at the next
// change. If own is set, it returns only those that this entry has from the runners or from entries that follow it.
func (b *Registry) Since(version int64, own bool) (limits []Limit, now int64, changed <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if version > b.version {
		version = 0 // it is that of an earlier process
	}
	for _, r := range b.records {
		if r.version > version && (r.own || !own) {
			limits = append(limits, r.limit)
		}
	}
	if b.changed == nil {
		b.changed = make(chan struct{})
	}
	return limits, b.version, b.changed
}
