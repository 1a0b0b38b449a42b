package bergamotretry

import (
	"container/list"
	"sync"
	"time"
)

// Clock returns the time and signals when a duration has passed.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// Budget limits the retries of each key to a share of its recent first attempts plus a small reserve.
type Budget struct {
	Clock   Clock
	Ratio   float64       // allowed retries per first attempt
	Reserve float64       // additional retries allowed per window, so that rare calls can be retried
	Window  time.Duration // length of the sliding window
	MaxKeys int           // keys kept; the least recently used key is evicted
	Started time.Time     // start of the process if an earlier one may have used the budget, otherwise zero

	mu       sync.Mutex
	elements map[string]*list.Element
	recent   *list.List
}

// windowSlots is the number of slots in the sliding window. With fewer slots, retries at the end of one window and the
// start of the next could together exceed the budget of a window that spans both.
const windowSlots = 10

// firstWindowFraction is the fraction of the budget that a process may use in its first window. The process before it may have
// used its budget just before it ended, and entries use 0.8 of what the platform allows: with a quarter of that again, no window
// has more than is allowed, even if all entries restart together.
const firstWindowFraction = 0.25

// usage counts the attempts for one key in each slot of the current window.
type usage struct {
	key           string
	slot          int64 // number of the newest slot
	firstAttempts [windowSlots]float64
	retries       [windowSlots]float64
}

// advance moves the window to slot and clears the slots that enter it.
func (u *usage) advance(slot int64) {
	for n := min(slot-u.slot, windowSlots); n > 0; n-- {
		i := (slot - n + 1) % windowSlots
		u.firstAttempts[i], u.retries[i] = 0, 0
	}
	u.slot = max(u.slot, slot)
}

// current returns the array index of the newest slot.
func (u *usage) current() int { return int(u.slot % windowSlots) }

func total(counts [windowSlots]float64) (sum float64) {
	for _, n := range counts {
		sum += n
	}
	return sum
}

// RecordFirst counts a first attempt for a key.
func (b *Budget) RecordFirst(key string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.usage(key)
	u.firstAttempts[u.current()]++
}

// Take reports whether the budget allows a retry for a key and, if so, counts it.
func (b *Budget) Take(key string) bool { return b.TakeWithin(key, 1) }

// TakeWithin is Take limited to a share of the budget, from 0 to 1; the rest is kept for more urgent retries.
func (b *Budget) TakeWithin(key string, share float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.usage(key)
	if total(u.retries)+1 > share*b.usable()*(b.Reserve+b.Ratio*total(u.firstAttempts)) {
		return false
	}
	u.retries[u.current()]++
	return true
}

// usable returns the fraction of the budget that may be used now.
func (b *Budget) usable() float64 {
	if b.Clock.Now().Sub(b.Started) < b.Window {
		return firstWindowFraction
	}
	return 1
}

// refund uncounts a retry that was taken but not sent.
func (b *Budget) refund(key string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if u := b.usage(key); u.retries[u.current()] > 0 {
		u.retries[u.current()]--
	}
}

// Len returns the number of keys kept.
func (b *Budget) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.elements)
}

// usage returns the counts for a key, advanced to the current slot, and evicts the least recently used key if a new key
// exceeds MaxKeys.
func (b *Budget) usage(key string) *usage {
	if b.elements == nil {
		b.elements, b.recent = map[string]*list.Element{}, list.New()
	}
	slot := b.Clock.Now().UnixNano() / max(int64(b.Window)/windowSlots, 1)
	e, ok := b.elements[key]
	if !ok {
		if len(b.elements) >= b.MaxKeys {
			oldest := b.recent.Back()
			delete(b.elements, oldest.Value.(*usage).key)
			b.recent.Remove(oldest)
		}
		e = b.recent.PushFront(&usage{key: key, slot: slot})
		b.elements[key] = e
	}
	b.recent.MoveToFront(e)
	u := e.Value.(*usage)
	u.advance(slot)
	return u
}

// SetReserve sets the additional retries allowed per window.
func (b *Budget) SetReserve(n float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Reserve = n
}
