package bergamotmemory

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"
)

// ErrNoReply is returned by an operation whose reply does not arrive.
var ErrNoReply = errors.New("no reply")

// Clock tells the time.
type Clock interface {
	Now() time.Time
}

// FaultInjector selects the fault of each operation and keeps a journal of the operations. Its exported fields must not
// be changed while an operation runs on another goroutine.
type FaultInjector struct {
	Plan   map[string][]Fault                         // faults of the next operations by name; OK after the last one
	Outage []string                                   // names of operations that get Down without using up a fault of the plan
	Hook   func(ctx context.Context, op string) Fault // called for each operation, may be nil; outages and the plan apply only if it returns OK
	Rival  func()                                     // writes as another writer would, on RivalFirst
	Clock  Clock                                      // determines when delayed requests take effect; if nil, they wait for Deliver
	Delay  time.Duration                              // time until a delayed request takes effect

	mu      sync.Mutex
	journal []string
	delayed []delayedRequest
}

type delayedRequest struct {
	due   time.Time
	apply func()
}

// Journal returns the names of the operations since the last call of ClearJournal, in order.
func (f *FaultInjector) Journal() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.journal)
}

// ClearJournal removes all operations from the journal.
func (f *FaultInjector) ClearJournal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.journal = nil
}

// Calls returns the number of operations with a name in the journal.
func (f *FaultInjector) Calls(op string) (n int) {
	for _, name := range f.Journal() {
		if name == op {
			n++
		}
	}
	return n
}

// Deliver applies all delayed requests.
func (f *FaultInjector) Deliver() { f.deliver(func(delayedRequest) bool { return true }) }

// nextFault adds an operation to the journal and returns its fault. It returns Down if the context was already done,
// since the request would not be sent.
func (f *FaultInjector) nextFault(ctx context.Context, op string) Fault {
	f.mu.Lock()
	f.journal = append(f.journal, op)
	f.mu.Unlock()
	if f.Clock != nil {
		now := f.Clock.Now()
		f.deliver(func(r delayedRequest) bool { return !r.due.After(now) })
	}
	ended := ctx.Err() != nil
	if f.Hook != nil {
		if fault := f.Hook(ctx, op); fault != OK {
			return fault
		}
	}
	if ended || slices.Contains(f.Outage, op) || slices.Contains(f.Outage, Any) {
		return Down
	}
	for _, name := range []string{op, Any} {
		if plan := f.Plan[name]; len(plan) > 0 {
			f.Plan[name] = plan[1:]
			return plan[0]
		}
	}
	return OK
}

// applyFault carries out a write with a fault; apply makes the write take effect.
func (f *FaultInjector) applyFault(fault Fault, apply func()) error {
	switch fault {
	case Down:
		return ErrNoReply
	case ReplyLost:
		apply()
		return ErrNoReply
	case Delayed:
		f.postpone(apply)
		return ErrNoReply
	case Duplicated:
		f.postpone(apply)
	case RivalFirst:
		f.Rival()
	}
	apply()
	return nil
}

func (f *FaultInjector) postpone(apply func()) {
	r := delayedRequest{apply: apply}
	if f.Clock != nil {
		r.due = f.Clock.Now().Add(f.Delay)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delayed = append(f.delayed, r)
}

// deliver applies the delayed requests that are due, in the order in which they were sent.
func (f *FaultInjector) deliver(due func(delayedRequest) bool) {
	f.mu.Lock()
	var ready, rest []delayedRequest
	for _, r := range f.delayed {
		if due(r) {
			ready = append(ready, r)
		} else {
			rest = append(rest, r)
		}
	}
	f.delayed = rest
	f.mu.Unlock()
	for _, r := range ready {
		r.apply()
	}
}
