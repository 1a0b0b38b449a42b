package bergamotretry

import (
	"sync"
	"time"
)

// denialPause is the time after a refused loan in which no more is borrowed for the same service and share.
const denialPause = 200 * time.Millisecond

// Lender lends retries from a budget that several entries share.
type Lender interface {
	// Borrow borrows one retry of a service and reports whether it was lent, which it is while less than the given share,
	// from 0 to 1, of the shared budget is used.
	Borrow(service string, share float64) bool
}

// SharedBudget is a budget of which each entry has a small part for itself and borrows the rest. Failures hit a few of
// hundreds of entries more than the others, so that an equal part for each would be used up at some while most is unused.
type SharedBudget struct {
	Own    *Budget
	Lender Lender
	Clock  Clock

	mu     sync.Mutex
	denied map[loan]time.Time // end of the pause after a refused loan
}

// loan is what an entry borrows.
type loan struct {
	service string
	share   float64
}

// RecordFirst counts a first attempt for a service.
func (b *SharedBudget) RecordFirst(service string) { b.Own.RecordFirst(service) }

// Take reports whether the budget allows a retry of a service and, if so, counts it.
func (b *SharedBudget) Take(service string) bool { return b.TakeWithin(service, 1) }

// TakeWithin is Take limited to a share of the budget, from 0 to 1; the rest is kept for more urgent retries.
func (b *SharedBudget) TakeWithin(service string, share float64) bool {
	if b.Own.TakeWithin(service, share) {
		return true
	}
	l := loan{service: service, share: share}
	b.mu.Lock()
	paused := b.Clock.Now().Before(b.denied[l])
	b.mu.Unlock()
	if paused {
		return false
	}
	if b.Lender.Borrow(service, share) {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.denied == nil || len(b.denied) >= b.Own.MaxKeys {
		b.denied = map[loan]time.Time{}
	}
	b.denied[l] = b.Clock.Now().Add(denialPause)
	return false
}
