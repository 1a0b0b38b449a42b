package bergamotretry

import (
	"container/list"
	"sync"
	"time"
)

// Clock tells the time and wakes a waiting goroutine.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// Budget allows retries up to a ratio of the recent first attempts of a key, plus a small reserve.
type Budget struct {
	Clock   Clock
	Ratio   float64       // retries for each first attempt
	Reserve float64       // retries in each window without any first attempt, so that rare calls can be retried
	Window  time.Duration // time that counts as recent
	Limit   int           // keys kept; the least recently used one is forgotten
	Started time.Time     // start of a process that may have used its reserve before, zero for one that did not

	mu    sync.Mutex
	items map[string]*list.Element
	order *list.List
}

// usageSlots divides the window. A coarser count lets the retries of the end of one window and the beginning of the
// next exceed the budget in a window between them.
const usageSlots = 10

// usage counts the attempts of one key in the slots of the window that ends now.
type usage struct {
	key     string
	slot    int64 // number of the newest slot
	firsts  [usageSlots]float64
	retries [usageSlots]float64
}

// advance forgets the slots that have left the window.
func (u *usage) advance(slot int64) {
	for n := min(slot-u.slot, usageSlots); n > 0; n-- {
		i := (slot - n + 1) % usageSlots
		u.firsts[i], u.retries[i] = 0, 0
	}
	u.slot = max(u.slot, slot)
}

func (u *usage) now() int { return int(u.slot % usageSlots) }

func total(list [usageSlots]float64) (sum float64) {
	for _, n := range list {
		sum += n
	}
	return sum
}

// First counts a first attempt.
func (b *Budget) First(key string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.usage(key)
	u.firsts[u.now()]++
}

// Take counts a retry and tells whether the budget allows it; one that is not allowed is not counted.
func (b *Budget) Take(key string) bool { return b.TakePart(key, 1) }

// TakePart does the same for a retry that is allowed only while a part of the budget, from 0 to 1, is not used up. What is
// left then is for more urgent retries.
func (b *Budget) TakePart(key string, part float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.usage(key)
	if total(u.retries)+1 > part*(b.reserve()+b.Ratio*total(u.firsts)) {
		return false
	}
	u.retries[u.now()]++
	return true
}

// reserve returns the reserve, which grows during the first window after a start.
func (b *Budget) reserve() float64 {
	if b.Started.IsZero() {
		return b.Reserve
	}
	return b.Reserve * min(float64(b.Clock.Now().Sub(b.Started))/float64(b.Window), 1)
}

// give returns a retry that was taken and not used.
func (b *Budget) give(key string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if u := b.usage(key); u.retries[u.now()] > 0 {
		u.retries[u.now()]--
	}
}

// Len returns how many keys are kept.
func (b *Budget) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.items)
}

func (b *Budget) usage(key string) *usage {
	if b.items == nil {
		b.items, b.order = map[string]*list.Element{}, list.New()
	}
	slot := b.Clock.Now().UnixNano() / max(int64(b.Window)/usageSlots, 1)
	e, ok := b.items[key]
	if !ok {
		if len(b.items) >= b.Limit {
			oldest := b.order.Back()
			delete(b.items, oldest.Value.(*usage).key)
			b.order.Remove(oldest)
		}
		e = b.order.PushFront(&usage{key: key, slot: slot})
		b.items[key] = e
	}
	b.order.MoveToFront(e)
	u := e.Value.(*usage)
	u.advance(slot)
	return u
}

// SetReserve changes the retries in each window that need no first attempt.
func (b *Budget) SetReserve(n float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Reserve = n
}
