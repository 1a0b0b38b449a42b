//go:build !race

package bergamotrate

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bergamotspur/core/bergamotmirror"
)

// The simulations are not built with the race detector, as those of bergamotcluster.
const (
	simRunner   = "runner@1"
	simSpan     = 4 * time.Second // for which requests are counted
	simWarmup   = 3 * time.Second // until all entries know the limit
	simHop      = time.Millisecond
	simFanOut   = 16
	simTakeover = 2 * time.Second // until another entry is the owner after the loss of one
	simUnowned  = 2               // requests of entries without an owner that fall together by chance
)

// simClock is the time of a bubble of testing/synctest.
type simClock struct{}

func (simClock) Now() time.Time                         { return time.Now() }
func (simClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// shareSim is a number of entries that send requests to one runner with a limit. The first ones are hubs.
type shareSim struct {
	rate    float64
	hubs    int
	entries []*simEntry
	begin   time.Time

	mu        sync.Mutex
	owner     int // -1 for none
	sent      []time.Duration
	unreached float64 // share of the entries that a fault keeps from the owner while other entries reach it
}

// simEntry is one entry.
type simEntry struct {
	sim    *shareSim
	number int
	broker *Broker
	pool   *Pool
	random *rand.Rand
	ctx    context.Context
	stop   context.CancelFunc

	mu     sync.Mutex
	asked  int           // queries of other entries
	away   bool          // cut off from the other entries, or frozen
	back   chan struct{} // closed at the end of that
	frozen bool
}

func (e *simEntry) IsOwner() bool {
	e.sim.mu.Lock()
	defer e.sim.mu.Unlock()
	return e.sim.owner == e.number
}

func (e *simEntry) Lead() (bergamotmirror.Peer, bool) { return bergamotmirror.Peer{}, false }

// Toward returns the owner for a hub, the entry that it follows for any other, and another hub after that.
func (e *simEntry) Toward() []bergamotmirror.Peer {
	s := e.sim
	s.mu.Lock()
	next := s.owner
	s.mu.Unlock()
	if e.number >= s.hubs {
		next = (e.number - s.hubs) / simFanOut
	}
	if next < 0 || next == e.number {
		return nil
	}
	name := strconv.Itoa(next)
	return []bergamotmirror.Peer{bergamotmirror.NewPeer(name, name)}
}

// Permits implements Network. An entry that is away neither asks nor answers until it is back.
func (e *simEntry) Permits(ctx context.Context, to bergamotmirror.Peer, wants []Want, hops int) (Permits, error) {
	n, err := strconv.Atoi(to.Name())
	if err != nil {
		return nil, err
	}
	other := e.sim.entries[n]
	for _, side := range []*simEntry{e, other} {
		if err := side.reach(ctx); err != nil {
			return nil, err
		}
		time.Sleep(simHop)
	}
	other.mu.Lock()
	other.asked++
	other.mu.Unlock()
	given, err := other.broker.Answer(ctx, wants, hops)
	if err == nil {
		err = other.reach(ctx)
	}
	return given, err
}

// reach waits while the entry is away.
func (e *simEntry) reach(ctx context.Context) error {
	e.mu.Lock()
	away, back := e.away, e.back
	e.mu.Unlock()
	if !away {
		return nil
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-back:
		return nil
	}
}

// setAway cuts the entry off, or ends that.
func (e *simEntry) setAway(away, frozen bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.away && !away {
		close(e.back)
	}
	e.away, e.frozen = away, frozen
	if away {
		e.back = make(chan struct{})
	}
}

// reachesOwner reports whether neither the entry nor one between it and the owner is away.
func (e *simEntry) reachesOwner() bool {
	for !e.IsOwner() {
		next := e.Toward()
		if e.away || len(next) == 0 {
			return false
		}
		n, err := strconv.Atoi(next[0].Name())
		if err != nil {
			return false
		}
		e = e.sim.entries[n]
	}
	return !e.away
}

func (e *simEntry) isFrozen() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.frozen
}

// start starts a process of the entry, which learns the limit after a while.
func (e *simEntry) start(learns time.Duration) {
	s := e.sim
	registry := &Registry{Clock: simClock{}, StoreTime: func() (time.Duration, bool) { return time.Since(s.begin) + time.Hour, true }}
	var mu sync.Mutex
	random := func() float64 { mu.Lock(); defer mu.Unlock(); return e.random.Float64() }
	e.pool = &Pool{Clock: simClock{}, Registry: registry, Random: random, Entries: func() int { return len(s.entries) }, OnUnowned: func(string) {}}
	e.broker = &Broker{
		Clock: simClock{}, Registry: registry, Pool: e.pool, Network: e, Directory: e, Random: func(n int) int { return int(random() * float64(n)) },
		IsKnown: func(string) bool { return true },
		OnAsk:   func(string, int, int, error) {}, OnOwner: func(bool) {}, OnChange: func(Limit, Limit) {},
	}
	e.broker.Init()
	e.ctx, e.stop = context.WithCancel(context.Background())
	go func() { _ = e.broker.Run(e.ctx) }() // its error is that of ctx
	time.AfterFunc(learns, func() { e.broker.Named(simRunner, s.rate) })
}

// demand lets the entry want the runner perSecond times a second on average, and use it while the limit allows that.
func (e *simEntry) demand(ctx context.Context, perSecond float64) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(e.random.ExpFloat64() / perSecond * float64(time.Second))):
		}
		if e.isFrozen() || e.ctx.Err() != nil {
			continue
		}
		go func() {
			pool := e.pool
			if !pool.Registry.Any() {
				return // the requests of an entry that does not know the limit do not count
			}
			if !pool.MayTake(simRunner) && !pool.IsExhausted(simRunner) {
				pool.Await(e.ctx, simRunner, 40*time.Millisecond)
			}
			if !e.isFrozen() && e.ctx.Err() == nil && pool.Take(simRunner) {
				e.sim.mu.Lock()
				defer e.sim.mu.Unlock()
				e.sim.sent = append(e.sim.sent, time.Since(e.sim.begin))
			}
		}()
	}
}

func (s *shareSim) setOwner(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owner = n
}

// busiest returns the largest number of requests in a span of time after the warm-up, and the number of all.
func (s *shareSim) busiest() (most, all int) {
	slices.Sort(s.sent)
	s.sent = slices.DeleteFunc(s.sent, func(t time.Duration) bool { return t < simWarmup })
	for from, to := 0, 0; to < len(s.sent); to++ {
		for s.sent[to]-s.sent[from] >= simSpan {
			from++
		}
		most = max(most, to-from+1)
	}
	return most, len(s.sent)
}

type shareCase struct {
	fault func(s *shareSim) // runs beside the load, nil for none
	// extra is how much of the limit the entries that do not reach the owner may use in addition.
	extra float64
	least float64 // share of the limit that is used at least
}

// cutShare is the part of the entries that is cut off in the cases about that.
const cutShare = 3

var shareCases = map[string]shareCase{
	"at rest": {least: 0.9},
	"while entries freeze for a second in turn": {least: 0.6, fault: func(s *shareSim) {
		for i := range 6 {
			e := s.entries[(i*len(s.entries)/6+1)%len(s.entries)]
			e.setAway(true, true)
			time.Sleep(time.Second)
			e.setAway(false, false)
		}
	}},
	"while entries start again in turn, the owner too": {least: 0.5, fault: func(s *shareSim) {
		for i := range 6 {
			e := s.entries[(i*len(s.entries)/6)%len(s.entries)]
			e.stop()
			if e.IsOwner() {
				s.setOwner(-1)
				time.AfterFunc(simTakeover, func() { s.setOwner(1) })
			}
			time.Sleep(time.Second)
			e.start(200 * time.Millisecond)
		}
	}},
	"while the owner is frozen and replaced": {least: 0.5, fault: func(s *shareSim) {
		s.entries[0].setAway(true, true)
		time.Sleep(simTakeover)
		s.setOwner(1)
		time.Sleep(time.Second)
		s.entries[0].setAway(false, false)
	}},
	"while a third of the entries is cut off from the others": {least: 0.5, extra: unownedShare, fault: func(s *shareSim) {
		for i, e := range s.entries {
			if i%cutShare == 1 {
				e.setAway(true, false)
				time.AfterFunc(12*time.Second, func() { e.setAway(false, false) })
			}
		}
		for _, e := range s.entries {
			if !e.reachesOwner() {
				s.unreached += 1 / float64(len(s.entries))
			}
		}
	}},
	"while no owner is there": {least: 0.2, extra: unownedShare, fault: func(s *shareSim) {
		s.unreached = 0.5 // in spans in which some have not heard yet that there is one again
		s.setOwner(-1)
		time.Sleep(10 * time.Second)
		s.setOwner(1)
	}},
}

// Guards against entries that together send a runner in need more than it takes, each of them its own part or the whole limit, and against
// parts of a limit that nobody uses.
func TestSharing(t *testing.T) {
	for _, n := range []int{4, 27, 840} {
		for _, rate := range []float64{0.5, 3, 200} {
			for _, name := range slices.Sorted(maps.Keys(shareCases)) {
				t.Run(fmt.Sprintf("%d entries, %v a second, %s", n, rate, name), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { runSharing(t, n, rate, shareCases[name]) })
				})
			}
		}
	}
}

func runSharing(t *testing.T, n int, rate float64, c shareCase) {
	s := &shareSim{rate: rate, hubs: min(n, 10), begin: time.Now()}
	ctx, cancel := context.WithCancel(context.Background())
	for i := range n {
		s.entries = append(s.entries, &simEntry{sim: s, number: i, random: rand.New(rand.NewPCG(1, uint64(i)))})
	}
	perEntry := max(4*rate, 20) / float64(n)
	for i, e := range s.entries {
		e.start(time.Duration(float64(i) / float64(n) * float64(500*time.Millisecond)))
		go e.demand(ctx, perEntry)
	}
	time.Sleep(simWarmup)
	length := max(20*time.Second, time.Duration(20/rate*float64(time.Second)))
	if c.fault != nil {
		go c.fault(s)
	}
	time.Sleep(length)
	cancel()
	for _, e := range s.entries {
		e.stop()
	}
	time.Sleep(simWarmup) // the last faults end
	synctest.Wait()
	most, all := s.busiest()
	slack := rate*permitTTL.Seconds() + max(minStored, rate*maxStoredTime.Seconds())
	if c.extra > 0 {
		slack += simUnowned
	}
	allowed := (1+c.extra*s.unreached)*rate*simSpan.Seconds() + slack
	used := float64(all) / (rate * length.Seconds())
	busiest := 0
	for _, e := range s.entries {
		busiest = max(busiest, e.asked)
	}
	t.Logf("%d in %v, at most %.1f; %.2f of the limit used; the busiest entry answers %.0f queries a second", most, simSpan, allowed, used, float64(busiest)/(simWarmup+length).Seconds())
	if float64(most) > allowed || allowed > 1.5*rate*simSpan.Seconds()+5 {
		t.Errorf("%d requests in %v, more than %.1f", most, simSpan, allowed)
	}
	if used < c.least {
		t.Errorf("%.2f of the limit used, less than %.2f", used, c.least)
	}
}
