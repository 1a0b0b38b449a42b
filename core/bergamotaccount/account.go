package bergamotaccount

import (
	"errors"
	"sync"
	"time"
)

// ErrFull is returned for a holder that has to be given up because all holders together need too much memory.
var ErrFull = errors.New("too much memory is in use")

// maxHeldShare is the share of the account that held bodies of SmallHolder bytes or more may use. The rest stays available
// for small requests and for answers while large requests run.
const maxHeldShare = 0.75

// maxLeavingShare is the share of the account that evicted holders may still use, since they need a moment to end. Beyond it,
// large heads and bodies that grow are refused instead of evicting more. Answers are not, since their requests have run. A body
// of 4 MiB fits at 184 MB. With 0.25, 2,100 heads of many lines at once made a process of seven threads exceed its memory, since
// the garbage collector could not follow.
const maxLeavingShare = 0.05

// Clock provides the current time.
type Clock interface {
	Now() time.Time
}

// Account keeps the total of all holders below a maximum. When it is exceeded, the holders that choose returns are evicted.
type Account struct {
	Max     int64 // bytes; SetMax changes it while the account is in use
	Clock   Clock
	OnEvict func(Eviction) // called without a lock, nil for none

	mu      sync.Mutex
	epoch   time.Time // times of the holders count from here
	total   int64
	leaving int64         // bytes of evicted holders that have not been closed
	held    int64         // bytes of held bodies of SmallHolder bytes or more
	states  []holderState // of the open charges
	charges []*Charge     // at the same positions
	owners  map[string]*owner
	unused  []*owner // owners without a holder, to use again
}

// Charge is the memory of one holder.
type Charge struct {
	account *Account
	holder  Holder
	index   int   // position in the account, -1 once closed or evicted
	leaving int64 // bytes until it is closed, once evicted
	cause   Cause
}

// victim is a charge to end after the account has been unlocked.
type victim struct {
	charge *Charge
	event  Eviction
}

// Open begins to account for a holder, which has no memory yet.
func (a *Account) Open(h Holder) *Charge {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.owners == nil {
		a.owners, a.epoch = map[string]*owner{}, a.Clock.Now()
	}
	o := a.owners[h.key]
	if o == nil {
		if n := len(a.unused); n > 0 {
			o, a.unused = a.unused[n-1], a.unused[:n-1]
		} else {
			o = &owner{}
		}
		a.owners[h.key] = o
	}
	o.holders++
	c := &Charge{account: a, holder: h, index: len(a.states)}
	now := a.now()
	mode := modeArriving
	if h.kind == KindStore || h.kind == KindPeer {
		mode = modeHeld // the entry cannot do without them
	}
	a.states = append(a.states, holderState{kind: h.kind, mode: mode, fixed: h.fixed, owner: o, began: now, progress: now})
	a.charges = append(a.charges, c)
	return c
}

// Total returns the bytes of all holders.
func (a *Account) Total() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.total
}

// Holders returns the number of open charges.
func (a *Account) Holders() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.states)
}

// SetMax changes the maximum and evicts the holders that no longer fit.
func (a *Account) SetMax(bytes int64) {
	a.mu.Lock()
	a.Max = bytes
	victims := a.makeRoom(KindAnswer)
	a.mu.Unlock()
	a.end(victims)
}

// Resize sets the memory of the holder. It returns ErrFull if the holder has been or has to be evicted, and evicts others if
// they come first.
func (c *Charge) Resize(bytes int64) error {
	a := c.account
	a.mu.Lock()
	if c.index < 0 {
		a.mu.Unlock()
		return ErrFull
	}
	before := a.states[c.index].size
	a.resize(c.index, bytes)
	if a.total <= a.Max {
		a.mu.Unlock()
		return nil
	}
	var victims []victim
	if s := &a.states[c.index]; !s.isRefusable() || float64(a.leaving) <= maxLeavingShare*float64(a.Max) {
		victims = a.makeRoom(c.holder.kind)
	}
	if a.total > a.Max && c.index >= 0 {
		victims = append(victims, a.remove(c, CauseFull))
	}
	evicted := c.index < 0
	if evicted {
		a.leaving += before - c.leaving // it has not grown
		c.leaving = before
	}
	a.mu.Unlock()
	a.end(victims, c)
	if evicted {
		return ErrFull
	}
	return nil
}

// Progress records that bytes of the holder have arrived.
func (c *Charge) Progress(bytes int) {
	c.update(func(s *holderState, now time.Duration) {
		s.progress = now
		s.arrived += int64(bytes)
	})
}

// Begin records that the arrival of a head or body of that kind begins, so that the holder may be evicted while it lasts.
func (c *Charge) Begin(k Kind) {
	c.update(func(s *holderState, now time.Duration) {
		s.kind, s.mode, s.began, s.progress, s.arrived = k, modeArriving, now, now, 0
	})
}

// Idle sets the memory of a connection on which no request is in progress. It is evicted before all other holders.
func (c *Charge) Idle(bytes int64) {
	c.update(func(s *holderState, now time.Duration) {
		s.kind, s.mode, s.progress = c.holder.kind, modeIdle, now
		bytes = min(bytes, s.size) // an idle connection never needs more
		c.account.total += bytes - s.size
		s.owner.total += bytes - s.size
		s.size = bytes
	})
}

// Serve records that the request on a connection has arrived, so that the connection is not evicted until Idle.
func (c *Charge) Serve() {
	c.update(func(s *holderState, _ time.Duration) { s.kind, s.mode = c.holder.kind, modeHeld })
}

// Hold records that the holder must not be evicted any more, since its request is about to be sent to a runner or its answer to
// a caller. Only answers that grow can evict held answers. It returns ErrFull if the holder was evicted, or if large bodies that
// are held use too much memory already.
func (c *Charge) Hold() error {
	a := c.account
	a.mu.Lock()
	if c.index < 0 {
		a.mu.Unlock()
		return ErrFull
	}
	s := &a.states[c.index]
	if s.mode == modeHeld {
		a.mu.Unlock()
		return nil
	}
	if s.kind == KindBody && !s.isSmall() && float64(a.held+s.size) > maxHeldShare*float64(a.Max) {
		v := []victim{a.remove(c, CauseFull)}
		a.mu.Unlock()
		a.end(v, c)
		return ErrFull
	}
	a.held -= s.heldBytes()
	s.mode = modeHeld
	a.held += s.heldBytes()
	a.mu.Unlock()
	return nil
}

// Cause returns why the holder was evicted, empty if it was not.
func (c *Charge) Cause() Cause {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	return c.cause
}

// Close releases the memory; calling it again has no effect.
func (c *Charge) Close() {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	if c.index >= 0 {
		c.account.remove(c, "")
	}
	c.account.leaving -= c.leaving
	c.leaving = 0
}

// update changes the state of an open charge.
func (c *Charge) update(f func(s *holderState, now time.Duration)) {
	a := c.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.index < 0 {
		return
	}
	s := &a.states[c.index]
	a.held -= s.heldBytes()
	f(s, a.now())
	a.held += s.heldBytes()
}

func (a *Account) now() time.Duration { return a.Clock.Now().Sub(a.epoch) }

func (a *Account) resize(index int, bytes int64) {
	s := &a.states[index]
	a.held -= s.heldBytes()
	a.total += bytes - s.size
	s.owner.total += bytes - s.size
	s.size = bytes
	a.held += s.heldBytes()
}

// makeRoom removes holders until the total is at most Max or no other can be evicted, and returns them.
func (a *Account) makeRoom(requester Kind) (victims []victim) {
	for a.total > a.Max {
		index, cause := choose(a.states, a.now(), requester)
		if index < 0 {
			return victims
		}
		victims = append(victims, a.remove(a.charges[index], cause))
	}
	return victims
}

// remove takes a charge out of the account.
func (a *Account) remove(c *Charge, cause Cause) victim {
	s := a.states[c.index]
	a.resize(c.index, 0)
	s.owner.holders--
	if s.owner.holders == 0 {
		delete(a.owners, c.holder.key)
		a.unused = append(a.unused, s.owner)
	}
	last := len(a.states) - 1
	a.states[c.index], a.charges[c.index] = a.states[last], a.charges[last]
	a.charges[c.index].index = c.index
	a.states[last], a.charges[last] = holderState{}, nil
	a.states, a.charges = a.states[:last], a.charges[:last]
	c.index, c.cause = -1, cause
	if cause != "" {
		c.leaving = s.size
		a.leaving += s.size
	}
	return victim{charge: c, event: Eviction{cause: cause, kind: s.kind, key: c.holder.key, bytes: s.size}}
}

// end reports evictions and ends the holders, except for one that is told by an error.
func (a *Account) end(victims []victim, except ...*Charge) {
	for _, v := range victims {
		if (len(except) == 0 || v.charge != except[0]) && v.charge.holder.evict != nil {
			v.charge.holder.evict(v.event.cause)
		}
		if a.OnEvict != nil {
			a.OnEvict(v.event)
		}
	}
}
