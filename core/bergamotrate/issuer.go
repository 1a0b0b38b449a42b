package bergamotrate

import (
	"math"
	"time"
)

const (
	// maxStoredTime is how much of the time without requests counts: after a silence a runner gets at most this part of a second's
	// requests at once.
	maxStoredTime = 250 * time.Millisecond
	// minStored is the same in requests, for limits of which maxStoredTime has fewer. With one, each permit for which no entry asks
	// within the time to the next is lost.
	minStored = 2.0
)

// issuer gives out permits as the owner of all limits. It is not safe for concurrent use.
type issuer struct {
	buckets map[string]*bucket // by process
}

// bucket is a token bucket of permits.
type bucket struct {
	stored float64
	at     time.Time // of stored
}

// issue returns how many of the wanted permits of a process may be given out now. The first time it begins to count from nothing, since
// an owner before this one may just have given out what there was.
func (i *issuer) issue(now time.Time, process string, rate float64, wanted int) int {
	if i.buckets == nil {
		i.buckets = map[string]*bucket{}
	}
	b := i.buckets[process]
	if b == nil {
		b = &bucket{at: now}
		i.buckets[process] = b
	}
	b.stored = min(b.stored+rate*max(now.Sub(b.at), 0).Seconds(), max(minStored, rate*maxStoredTime.Seconds()))
	b.at = now
	n := min(wanted, int(math.Floor(b.stored)))
	b.stored -= float64(n)
	return n
}

// reset forgets all buckets, when this entry is the owner no more.
func (i *issuer) reset() { i.buckets = nil }

// retain forgets the buckets of processes without a limit.
func (i *issuer) retain(isLimited func(process string) bool) {
	for process := range i.buckets {
		if !isLimited(process) {
			delete(i.buckets, process)
		}
	}
}
