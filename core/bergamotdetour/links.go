package bergamotdetour

import (
	"sync"
	"time"
)

const (
	// minApartSilent and minApartRefused are the numbers of runners that only helpers reach, without a direct connection to any runner
	// meanwhile, from which the own links count as lost. A connection that is only slow looks like a silent one, a refusal is certain.
	minApartSilent  = 3
	minApartRefused = 2
	// minMissed and minMissedTime are the number of runners that helpers do not know to be dead, and the time, without any direct connection after
	// which the links count as lost although no helper has reached a runner: so it looks if all entries are cut. Entries connect to runners of several data
	// centres, so that the loss of one does not look like this.
	minMissed     = 4
	minMissedTime = 300 * time.Millisecond
	// minDoubtful and minDoubtfulTime are the number of runners, and the time, without any direct connection from which on it is open whether
	// the runners or the links failed. Entries with links open several connections in that time.
	minDoubtful     = 3
	minDoubtfulTime = 150 * time.Millisecond
	// minProbes is the number of successful probes in a row that end the loss of the links.
	minProbes = 3
	// apartHold is how long a runner that only helpers reach gets no direct connection. The next one is tried both ways.
	apartHold = 500 * time.Millisecond
	// unreachedHold is how long a runner that helpers do not reach either gets no detour, so that a dead runner does not double the
	// connections of all entries.
	unreachedHold = time.Second
	// maxKnown is more than the number of runners of a deployment. Beyond it the addresses of runners that are gone are forgotten.
	maxKnown = 16384
	// lateRate and lateBurst limit the detours for direct connections that are only late, in a second and at once. They keep a
	// machine that is short of processor time from sending its connections over others.
	lateRate  = 5
	lateBurst = 10
)

// Clock provides the current time.
type Clock interface {
	Now() time.Time
}

// Change is the loss of the links of this entry to the runners, or its end.
type Change struct {
	lost   bool
	apart  int
	missed int
	silent bool
	lasted time.Duration
}

// Lost reports whether the links were lost; otherwise they work again.
func (c Change) Lost() bool { return c.lost }

// Apart returns how many runners only helpers reached.
func (c Change) Apart() int { return c.apart }

// Missed returns how many runners the entry did not reach.
func (c Change) Missed() int { return c.missed }

// Silent reports whether connections got no answer, so that open ones are silent too; otherwise they were refused.
func (c Change) Silent() bool { return c.silent }

// Lasted returns how long the loss lasted, 0 at its begin.
func (c Change) Lasted() time.Duration { return c.lasted }

// Links is what an entry knows of its own links to the runners. A runner that it does not reach is dead or cut off from it: the
// difference is whether a helper reaches the runner. Links may be used concurrently.
type Links struct {
	Clock    Clock
	OnChange func(Change) // called after each change, nil for none
	OnDoubt  func()       // called when it becomes open whether runners or the links failed, nil for none

	mu         sync.Mutex
	missed     map[string]time.Time // runners not reached since the last direct connection to any, by address
	silent     int                  // how many of them gave no answer
	apart      map[string]time.Time // when only a helper reached a runner, by address
	unreached  map[string]time.Time // when helpers did not reach a runner either, by address
	lost       bool
	lostAt     time.Time
	lostSilent bool
	probes     int // successful probes in a row
	lateTokens float64
	lateAt     time.Time
}

// UsesHelper reports whether a connection to the runner at an address has to be opened over a helper only.
func (l *Links) UsesHelper(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost || l.isRecent(l.apart, address, apartHold)
}

// MayDetour reports whether a helper should be asked for a runner that was not reached directly. late is set if the direct
// connection has not failed yet.
func (l *Links) MayDetour(address string, late bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isRecent(l.unreached, address, unreachedHold) {
		return false
	}
	if _, known := l.apart[address]; known || !late {
		return true
	}
	now := l.Clock.Now()
	if l.lateAt.IsZero() {
		l.lateTokens = lateBurst
	} else {
		l.lateTokens = min(lateBurst, l.lateTokens+lateRate*now.Sub(l.lateAt).Seconds())
	}
	l.lateAt = now
	if l.lateTokens < 1 {
		return false
	}
	l.lateTokens--
	return true
}

// Connected records a direct connection to the runner at an address.
func (l *Links) Connected(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// Connections that were on their way when the links were lost do not end the loss; probes do.
	if l.lost {
		return
	}
	if len(l.missed) > 0 {
		clear(l.missed)
		l.silent = 0
	}
	delete(l.apart, address)
	delete(l.unreached, address)
}

// Missed records that a direct connection to the runner at an address failed; silent is set if nothing answered. a is what the
// helpers answered, empty if none was asked.
func (l *Links) Missed(address string, silent bool, a Answer) {
	l.mu.Lock()
	now := l.Clock.Now()
	if l.missed == nil {
		l.missed = map[string]time.Time{}
	}
	_, known := l.missed[address]
	if !known {
		l.missed[address] = now
		if silent {
			l.silent++
		}
	}
	l.answered(address, a, now)
	c, changed := l.checkLoss(now)
	unexplained, _ := l.unexplained(now)
	l.mu.Unlock()
	l.notify(c, changed)
	if !known && unexplained >= minDoubtful && l.OnDoubt != nil {
		l.OnDoubt()
	}
}

// Answered records what the helpers answered about the runner at an address to which no direct connection was tried.
func (l *Links) Answered(address string, a Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answered(address, a, l.Clock.Now())
}

// answered records an answer. The caller holds the lock.
func (l *Links) answered(address string, a Answer, now time.Time) {
	if l.apart == nil || len(l.apart)+len(l.unreached) > maxKnown {
		l.apart, l.unreached = map[string]time.Time{}, map[string]time.Time{}
	}
	switch a {
	case AnswerConnected:
		l.apart[address] = now
		delete(l.unreached, address)
	case AnswerUnreached, AnswerRefused:
		l.unreached[address] = now
		delete(l.apart, address)
	default:
	}
}

// checkLoss finds the links lost if the runners that were not reached show it. The caller holds the lock.
func (l *Links) checkLoss(now time.Time) (c Change, changed bool) {
	if l.lost {
		return c, false
	}
	apart := 0
	for address := range l.missed {
		if l.isRecent(l.apart, address, apartHold) {
			apart++
		}
	}
	unexplained, first := l.unexplained(now)
	isSilent := 2*l.silent > len(l.missed)
	needed := minApartRefused
	if isSilent {
		needed = minApartSilent
	}
	if apart < needed && (unexplained < minMissed || now.Sub(first) < minMissedTime) {
		return c, false
	}
	l.lost, l.lostAt, l.lostSilent, l.probes = true, now, isSilent, 0
	return Change{lost: true, apart: apart, missed: len(l.missed), silent: isSilent}, true
}

// unexplained returns how many runners were not reached, without those that helpers do not reach either, and since when. The caller
// holds the lock.
func (l *Links) unexplained(now time.Time) (n int, first time.Time) {
	first = now
	for address, since := range l.missed {
		if l.isRecent(l.unreached, address, unreachedHold) {
			continue
		}
		if at, known := l.unreached[address]; known && at.Add(unreachedHold).After(since) {
			since = at.Add(unreachedHold) // until then helpers explained it
		}
		n++
		if since.Before(first) {
			first = since
		}
	}
	return n, first
}

// Probed records a direct connection that was tried while the links are lost, to find out whether they work again.
func (l *Links) Probed(connected bool) {
	l.mu.Lock()
	if !l.lost {
		l.mu.Unlock()
		return
	}
	l.probes++
	if !connected {
		l.probes = 0
	}
	if l.probes < minProbes {
		l.mu.Unlock()
		return
	}
	c := Change{silent: l.lostSilent, lasted: l.Clock.Now().Sub(l.lostAt)}
	l.lost, l.silent = false, 0
	clear(l.missed)
	clear(l.apart)
	clear(l.unreached)
	l.mu.Unlock()
	l.notify(c, true)
}

// AreLost reports whether the entry has lost its links to the runners.
func (l *Links) AreLost() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost
}

// MayBeLost reports whether several runners were not reached and none since, however short ago that began.
func (l *Links) MayBeLost() bool {
	_, ok := l.DoubtfulAt()
	return ok
}

// AreDoubtful reports whether the links are lost or may be: several runners were not reached, and none since.
func (l *Links) AreDoubtful() bool {
	at, ok := l.DoubtfulAt()
	return ok && !l.Clock.Now().Before(at)
}

// DoubtfulAt returns from when on the links are lost or may be, unless a runner is reached before; ok is false if nothing speaks for it.
func (l *Links) DoubtfulAt() (at time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lost {
		return l.lostAt, true
	}
	unexplained, first := l.unexplained(l.Clock.Now())
	return first.Add(minDoubtfulTime), unexplained >= minDoubtful
}

// IsMissed reports whether the runner at an address was not reached since the last direct connection to any.
func (l *Links) IsMissed(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, missed := l.missed[address]
	return missed
}

// SilentSince returns since when the links are lost in such a way that open connections are silent too.
func (l *Links) SilentSince() (t time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lostAt, l.lost && l.lostSilent
}

// isRecent reports whether the time of an address is less than d ago. The caller holds the lock.
func (l *Links) isRecent(times map[string]time.Time, address string, d time.Duration) bool {
	t, known := times[address]
	return known && l.Clock.Now().Sub(t) < d
}

func (l *Links) notify(c Change, changed bool) {
	if changed && l.OnChange != nil {
		l.OnChange(c)
	}
}
