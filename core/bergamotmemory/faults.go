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

// Faults decides the fault of each operation and keeps a journal of them. The exported fields must not be changed while
// an operation runs on another goroutine.
type Faults struct {
	Plan   map[string][]Fault                         // faults of the next operations by name, OK after the last one
	Outage []string                                   // operations that are down; they use up no fault of the plan
	Hook   func(ctx context.Context, op string) Fault // called first at each operation, may be nil; the plan applies when it returns OK
	Rival  func()                                     // what another writer does on Race
	Clock  Clock                                      // of late requests, nil when they wait for Deliver
	Delay  time.Duration                              // from the operation to the effect of a late request

	mu      sync.Mutex
	journal []string
	late    []lateRequest
}

type lateRequest struct {
	due   time.Time
	apply func()
}

// Journal returns the names of the operations since the last call of ClearJournal.
func (f *Faults) Journal() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.journal)
}

// ClearJournal forgets the operations so far.
func (f *Faults) ClearJournal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.journal = nil
}

// Calls returns how many operations of a name the journal has.
func (f *Faults) Calls(op string) (n int) {
	for _, name := range f.Journal() {
		if name == op {
			n++
		}
	}
	return n
}

// Deliver applies all late requests.
func (f *Faults) Deliver() { f.deliver(func(lateRequest) bool { return true }) }

// next records an operation and returns its fault. An operation whose context had ended is not sent.
func (f *Faults) next(ctx context.Context, op string) Fault {
	f.mu.Lock()
	f.journal = append(f.journal, op)
	f.mu.Unlock()
	if f.Clock != nil {
		now := f.Clock.Now()
		f.deliver(func(r lateRequest) bool { return !r.due.After(now) })
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

// write lets a write meet its fault; apply makes it take effect.
func (f *Faults) write(fault Fault, apply func()) error {
	switch fault {
	case Down:
		return ErrNoReply
	case Lost:
		apply()
		return ErrNoReply
	case Late:
		f.postpone(apply)
		return ErrNoReply
	case Double:
		f.postpone(apply)
	case Race:
		f.Rival()
	}
	apply()
	return nil
}

func (f *Faults) postpone(apply func()) {
	r := lateRequest{apply: apply}
	if f.Clock != nil {
		r.due = f.Clock.Now().Add(f.Delay)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.late = append(f.late, r)
}

// deliver applies the late requests that are due, in the order in which they were sent.
func (f *Faults) deliver(due func(lateRequest) bool) {
	f.mu.Lock()
	var ready, rest []lateRequest
	for _, r := range f.late {
		if due(r) {
			ready = append(ready, r)
		} else {
			rest = append(rest, r)
		}
	}
	f.late = rest
	f.mu.Unlock()
	for _, r := range ready {
		r.apply()
	}
}
