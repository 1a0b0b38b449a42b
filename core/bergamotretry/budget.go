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

	mu    sync.Mutex
	items map[string]*list.Element
	order *list.List
}

// usage counts the attempts of one key in the current window and the one before.
type usage struct {
	key     string
	begin   time.Time
	firsts  [2]float64
	retries [2]float64
}

// First counts a first attempt.
func (b *Budget) First(key string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.usage(key).firsts[0]++
}

// Take counts a retry and tells whether the budget allows it; one that is not allowed is not counted.
func (b *Budget) Take(key string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.usage(key)
	// The window before counts with the part of it that is still recent.
	part := 1 - float64(b.Clock.Now().Sub(u.begin))/float64(b.Window)
	firsts, retries := u.firsts[0]+part*u.firsts[1], u.retries[0]+part*u.retries[1]
	if retries+1 > b.Reserve+b.Ratio*firsts {
		return false
	}
	u.retries[0]++
	return true
}

// give returns a retry that was taken and not used.
func (b *Budget) give(key string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if u := b.usage(key); u.retries[0] > 0 {
		u.retries[0]--
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
	now := b.Clock.Now()
	e, ok := b.items[key]
	if !ok {
		if len(b.items) >= b.Limit {
			oldest := b.order.Back()
			delete(b.items, oldest.Value.(*usage).key)
			b.order.Remove(oldest)
		}
		e = b.order.PushFront(&usage{key: key, begin: now})
		b.items[key] = e
	}
	b.order.MoveToFront(e)
	u := e.Value.(*usage)
	switch age := now.Sub(u.begin); {
	case age >= 2*b.Window:
		*u = usage{key: key, begin: now}
	case age >= b.Window:
		u.begin = u.begin.Add(b.Window)
		u.firsts, u.retries = [2]float64{0, u.firsts[0]}, [2]float64{0, u.retries[0]}
	}
	return u
}

// SetReserve changes the retries in each window that need no first attempt.
func (b *Budget) SetReserve(n float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Reserve = n
}
