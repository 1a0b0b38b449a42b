package bergamotrate

import (
	"context"
	"math"
	"sync"
	"time"
)

const (
	// permitTTL is how long after it was asked for a permit may be used. It is as long as the margin by which an owner stops before
	// the next one can begin, so that their permits do not add up.
	permitTTL = 300 * time.Millisecond
	// minExhaustedTime is the shortest time in which requests take other runners after the owner had no permit; the longest is twice that.
	minExhaustedTime = 60 * time.Millisecond
	// ownerTimeout is how long no owner must have answered before this entry uses its part of the limits without one. The next owner
	// begins two seconds after the end of the one before.
	ownerTimeout = 3 * time.Second
	// unownedShare is the part of the limits that all entries together use while no owner is reached. If it is only out of reach of
	// some of them, this comes in addition to what it gives out.
	unownedShare = 0.5
	// maxWanted is the largest number of permits of a process that an entry asks for at once.
	maxWanted = 64
	statSlots = 5 // seconds for which usage is counted, the current one included
)

// Pool holds the permits of this entry. It may be used concurrently.
type Pool struct {
	Clock    Clock
	Registry *Registry
	Random   func() float64 // from 0 (included) to 1 (excluded); may be called concurrently
	// Entries returns the number of entries that share the limits, 0 if it is not known.
	Entries func() int
	// OnUnowned is called for each request that was allowed without an owner.
	OnUnowned func(process string)

	onWant   func() // called when permits are wanted
	mu       sync.Mutex
	accounts map[string]*account // by process
	heard    time.Time           // last answer of an owner
}

// account is what a pool has of one process.
type account struct {
	permits        []permits
	wanted         int           // by requests that wait
	answered       chan struct{} // closed at the next answer of the owner
	exhaustedUntil time.Time
	unowned        float64 // part of a permit without an owner
	filledAt       time.Time
	used           [statSlots]int
	lacked         [statSlots]int
	second         int64 // of the newest slot
}

// permits are permits that expire at the same time.
type permits struct {
	number  int
	expires time.Time
}

// Any reports whether any runner has a limit.
func (p *Pool) Any() bool { return p.Registry.Any() }

// IsLimited reports whether a process names a limit.
func (p *Pool) IsLimited(process string) bool {
	_, limited := p.Registry.Rate(process)
	return limited
}

// Rate returns the limit of a process in requests a second; ok is false if it has none.
func (p *Pool) Rate(process string) (rate float64, ok bool) { return p.Registry.Rate(process) }

// MayTake reports whether a process has no limit, or there is a permit for it.
func (p *Pool) MayTake(process string) bool {
	rate, limited := p.Registry.Rate(process)
	if !limited {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.account(process).available(p.Clock.Now()) > 0 || p.fillUnowned(process, rate) >= 1
}

// Take takes a permit of a process and reports whether there was one, or the process has no limit.
func (p *Pool) Take(process string) bool {
	rate, limited := p.Registry.Rate(process)
	if !limited {
		return true
	}
	p.mu.Lock()
	a, now := p.account(process), p.Clock.Now()
	if a.available(now) > 0 {
		a.permits[0].number--
		a.count(&a.used, now)
		p.mu.Unlock()
		return true
	}
	if p.fillUnowned(process, rate) < 1 {
		p.mu.Unlock()
		return false
	}
	a.unowned--
	a.count(&a.used, now)
	p.mu.Unlock()
	p.OnUnowned(process)
	return true
}

// Return gives back a permit with which nothing was sent.
func (p *Pool) Return(process string) {
	if _, limited := p.Registry.Rate(process); !limited {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	a, now := p.account(process), p.Clock.Now()
	a.advance(now)
	if i := a.second % statSlots; a.used[i] > 0 {
		a.used[i]--
	}
	a.permits = append(a.permits, permits{number: 1, expires: now.Add(minExhaustedTime)})
}

// IsExhausted reports whether the owner had no permit of a process a moment ago, so that asking again is of no use yet.
func (p *Pool) IsExhausted(process string) bool {
	rate, limited := p.Registry.Rate(process)
	if !limited {
		return false
	}
	if rate <= 0 {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.Clock.Now().Before(p.account(process).exhaustedUntil)
}

// Await asks the owner for a permit of a process and waits for its answer, at most for a timeout. It reports whether there is a
// permit, which another request may still take first.
func (p *Pool) Await(ctx context.Context, process string, timeout time.Duration) bool {
	if rate, limited := p.Registry.Rate(process); !limited || rate <= 0 {
		return !limited
	}
	p.mu.Lock()
	a := p.account(process)
	if a.available(p.Clock.Now()) > 0 {
		p.mu.Unlock()
		return true
	}
	a.wanted++
	if a.answered == nil {
		a.answered = make(chan struct{})
	}
	answered := a.answered
	p.mu.Unlock()
	p.onWant()
	select {
	case <-answered:
	case <-p.Clock.After(timeout):
	case <-ctx.Done():
	}
	return p.MayTake(process)
}

// wants returns the permits that requests wait for, and begins to count anew.
func (p *Pool) wants() (out map[string]int, answered []chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	out = map[string]int{}
	for process, a := range p.accounts {
		if a.wanted > 0 {
			out[process] = min(a.wanted, maxWanted)
		}
		if a.answered != nil {
			answered = append(answered, a.answered)
		}
		a.wanted, a.answered = 0, nil
	}
	return out, answered
}

// put records the answer of an owner to a query that was sent at a time: of the wanted permits it gave some.
func (p *Pool) put(sent time.Time, wanted map[string]int, given Permits) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	p.heard = now
	for process, n := range wanted {
		a, got := p.account(process), min(given[process], n)
		if got > 0 {
			a.permits = append(a.permits, permits{number: got, expires: sent.Add(permitTTL)})
			a.unowned = 0
		}
		if got < n {
			a.exhaustedUntil = now.Add(minExhaustedTime + time.Duration(p.Random()*float64(minExhaustedTime)))
			for range n - got {
				a.count(&a.lacked, now)
			}
		}
	}
}

// reduce gives up the permits beyond what a lower limit allows.
func (p *Pool) reduce(process string, rate float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.account(process)
	left := int(math.Ceil(rate * permitTTL.Seconds()))
	for i := range a.permits {
		a.permits[i].number = min(a.permits[i].number, left)
		left -= a.permits[i].number
	}
}

// Usage returns how many requests this entry has sent to a process and how many permits it has lacked in the last four seconds.
func (p *Pool) Usage(process string) (used, lacked int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a, known := p.accounts[process]
	if !known {
		return 0, 0
	}
	a.advance(p.Clock.Now())
	for i := range statSlots {
		used, lacked = used+a.used[i], lacked+a.lacked[i]
	}
	return used, lacked
}

// Heard returns how long ago an owner has answered last; ok is false if none has.
func (p *Pool) Heard() (age time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.Clock.Now().Sub(p.heard), !p.heard.IsZero()
}

// retain forgets the accounts of processes without a limit.
func (p *Pool) retain() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for process, a := range p.accounts {
		if _, limited := p.Registry.Rate(process); !limited && a.answered == nil {
			delete(p.accounts, process)
		}
	}
}

// account returns the account of a process. The caller holds the lock.
func (p *Pool) account(process string) *account {
	if p.accounts == nil {
		p.accounts = map[string]*account{}
	}
	a := p.accounts[process]
	if a == nil {
		a = &account{}
		p.accounts[process] = a
	}
	return a
}

// fillUnowned returns how much of a permit this entry has saved of its part of the limit of a process since no owner answers. It begins at
// a random point, so that not all entries send at the same time, and keeps none for later. The caller holds the lock.
func (p *Pool) fillUnowned(process string, rate float64) float64 {
	a, now, n := p.account(process), p.Clock.Now(), p.Entries()
	since := a.filledAt
	a.filledAt = now
	switch {
	case n <= 0 || rate <= 0 || now.Sub(p.heard) < ownerTimeout:
		a.unowned = 0
		return 0
	case since.IsZero() || since.Before(p.heard.Add(ownerTimeout)):
		a.unowned = p.Random()
		return 0
	}
	a.unowned += unownedShare * rate / float64(n) * now.Sub(since).Seconds()
	if a.unowned >= 2 {
		a.unowned = 1 + a.unowned - math.Floor(a.unowned) // nobody wanted it
	}
	return a.unowned
}

// available returns the permits that may still be used, after it has removed the others.
func (a *account) available(now time.Time) (n int) {
	for len(a.permits) > 0 && (a.permits[0].number <= 0 || !now.Before(a.permits[0].expires)) {
		a.permits = a.permits[1:]
	}
	for _, b := range a.permits {
		if now.Before(b.expires) {
			n += b.number
		}
	}
	if len(a.permits) == 0 {
		a.permits = nil
	}
	return n
}

// advance clears the slots of the seconds that have begun since the last call.
func (a *account) advance(now time.Time) {
	second := now.Unix()
	for n := min(second-a.second, statSlots); n > 0; n-- {
		i := (second - n + 1) % statSlots
		a.used[i], a.lacked[i] = 0, 0
	}
	a.second = max(a.second, second)
}

// count adds one to the newest slot of counts.
func (a *account) count(counts *[statSlots]int, now time.Time) {
	a.advance(now)
	counts[a.second%statSlots]++
}
