//go:build !race

package bergamotcluster_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bergamotspur/core/bergamotcluster"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotlease"
	"bergamotspur/core/bergamotloop"
	"bergamotspur/core/bergamotmirror"
	"bergamotspur/core/bergamotstore"
)

// The simulations are not built with the race detector: with the timers of several entries in a bubble of testing/synctest
// it aborts by itself (SIGSEGV or a failed check in its own runtime, in five of nine runs).
const (
	simCallTime   = 2 * time.Millisecond // of a call to the store, unless a test sets another time
	simPeerTime   = 2 * time.Millisecond // of a query to another entry that is answered at once
	simConfigWait = 2500 * time.Millisecond
	simFeedWait   = 5 * time.Second
	simStoreAhead = 1000 * time.Hour // of the store's clock before that of the entries
)

var errUnreachable = errors.New("unreachable")

// simClock is the time of a bubble of testing/synctest.
type simClock struct{ start time.Time }

func (c simClock) Now() time.Time                         { return time.Now() }
func (c simClock) Uptime() time.Duration                  { return time.Since(c.start) + time.Hour }
func (c simClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// simulation is a number of entries that run all controllers but the placement in virtual time.
type simulation struct {
	t     *testing.T
	clock simClock
	store *simStore

	callTime atomic.Int64 // of a call to the store in nanoseconds

	mu      sync.Mutex
	entries map[string]*simEntry
	names   []string // in the order in which they were started
}

// simEntry is one entry.
type simEntry struct {
	sim    *simulation
	name   string
	reader *bergamotmirror.Reader
	hubs   *bergamotcluster.Hubs
	cancel context.CancelFunc
	done   chan struct{}

	mu       sync.Mutex
	link     simLink                           // to the store
	peerLink simLink                           // to other entries, also of their queries to it
	applied  map[int64]time.Time               // when each version of the configuration took effect
	feedSeen map[string]bergamotstore.Position // latest position of each table that was read
	answered []time.Time                       // when the store answered reads of changes
	relinked chan struct{}                     // closed when a link changes
}

// simLink is the state of a connection.
type simLink int

const (
	linkUp      simLink = iota
	linkSilent          // no answer arrives
	linkRefused         // each call fails at once
)

// newSimulation starts a number of entries in several data centres, one after the other within a second.
func newSimulation(t *testing.T, entries, centres, minPerHub int) *simulation {
	s := &simulation{t: t, clock: simClock{start: time.Now()}, entries: map[string]*simEntry{}}
	s.store = newSimStore(s.clock)
	s.callTime.Store(int64(simCallTime))
	s.store.put("op", "config", "\x01")
	for n := range 3 {
		s.store.put("servers", fmt.Sprint("r", n), "ready")
	}
	for n := range entries {
		s.startEntry(fmt.Sprint("e", n), fmt.Sprint("c", n%centres), minPerHub)
		<-time.After(time.Second / time.Duration(entries))
	}
	return s
}

// startEntry starts an entry.
func (s *simulation) startEntry(name, centre string, minPerHub int) {
	ctx, cancel := context.WithCancel(context.Background())
	e := &simEntry{
		sim: s, name: name, cancel: cancel, done: make(chan struct{}), applied: map[int64]time.Time{}, feedSeen: map[string]bergamotstore.Position{}, relinked: make(chan struct{}),
	}
	random := rand.New(rand.NewPCG(1, uint64(len(s.names))))
	var randomMu sync.Mutex
	float := func() float64 {
		randomMu.Lock()
		defer randomMu.Unlock()
		return random.Float64()
	}
	client := &simClient{simStore: s.store, entry: e}
	self := func() bergamotmirror.Peer { return bergamotmirror.NewPeer(name, name) }
	e.reader = &bergamotmirror.Reader{
		Clock: s.clock, Store: client, Network: e, Self: self, Waits: map[string]time.Duration{"suspects": simFeedWait},
		Peers: &bergamotmirror.Peers{
			Centre: centre, Name: name, Random: func(n int) int { return int(float() * float64(n)) }, Now: s.clock.Uptime, MinEntriesPerHub: minPerHub,
		},
	}
	e.reader.Init()
	client.observe = e.reader.ObserveStore
	e.hubs = &bergamotcluster.Hubs{
		Centre: centre, Self: self, Table: client, Peers: e.reader.Peers, Reader: e.reader, Random: float, Stopping: func() bool { return false },
		OnChange: func(bool, int, error) {}, OnCount: func(int) {}, OnRegister: func(int, bool) {},
	}
	loop := &bergamotloop.Loop[*bergamotcluster.State]{
		Clock: s.clock, Period: time.Second, NewState: bergamotcluster.NewState, Publish: e.publish,
		Controllers: []bergamotcluster.Controller{
			e.watcher("op", simConfigWait, 0, float, &bergamotcluster.ConfigHandler{Key: "config", Decoder: fakeDecoder{}, OnConfig: e.recordConfig}),
			e.watcher("servers", simConfigWait, 150*time.Millisecond, float, &bergamotcluster.Roster{
				Decoder: fakeDecoder{}, OnRunnerChange: func(bergamotfleet.Instance, string, error) {},
			}),
			e.watcher("suspects", simFeedWait, 0, float, ignoreTable{}),
			e.hubs,
			&bergamotcluster.Leadership{
				Lease: &bergamotlease.Lease{
					Table: client, Clock: s.clock, Key: "placement", Holder: name, Term: 2 * time.Second, Margin: 300 * time.Millisecond,
					NewWriteID: func() string { return fmt.Sprint(name, float()) }, RemoteClock: client,
				},
				RenewInterval: 700 * time.Millisecond, CandidateInterval: 2 * time.Second, InitialDelay: 150 * time.Millisecond, Random: float,
				OnChange: func(bool, int64, error) {}, Stopping: func() bool { return false },
			},
		},
	}
	loop.Init()
	s.mu.Lock()
	s.entries[name], s.names = e, append(s.names, name)
	s.mu.Unlock()
	go func() {
		defer close(e.done)
		_ = loop.Run(ctx) // returns the error of ctx
	}()
}

func (e *simEntry) watcher(table string, wait, pause time.Duration, random func() float64, h bergamotcluster.TableHandler) *bergamotcluster.TableWatcher {
	return &bergamotcluster.TableWatcher{
		Table: table, Source: e, MaxWait: wait, MinPause: pause, Random: random, Handler: h, OnStatusChange: func(string, error, time.Duration) {},
	}
}

// stop ends all entries.
func (s *simulation) stop() {
	for _, e := range s.entries {
		e.cancel()
	}
	for _, e := range s.entries {
		<-e.done
	}
}

// hubs returns the entry that holds the lowest slot of a data centre, and the one that holds the other slot.
func (s *simulation) hubs(centre string) (first, second *simEntry) {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[s.store.hubRows[centre+"/0"].hub.Name()], s.entries[s.store.hubRows[centre+"/1"].hub.Name()]
}

// List reads a table and checks that nothing older than before is read.
func (e *simEntry) List(ctx context.Context, table string) (bergamotmirror.Reading, error) {
	r, err := e.reader.List(ctx, table)
	e.checkVersion(table, r, err)
	return r, err
}

// Changes reads the changes of a table and checks that nothing older than before is read.
func (e *simEntry) Changes(ctx context.Context, table string, after bergamotstore.Position, wait time.Duration) (bergamotmirror.Reading, error) {
	r, err := e.reader.Changes(ctx, table, after, wait)
	e.checkVersion(table, r, err)
	return r, err
}

func (e *simEntry) checkVersion(table string, r bergamotmirror.Reading, err error) {
	if err != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.Position().IsBefore(e.feedSeen[table]) {
		e.sim.t.Errorf("%s: %s goes back from %v to %v", e.name, table, e.feedSeen[table], r.Position())
	}
	e.feedSeen[table] = r.Position()
}

// lastRead returns the latest position of a table that was read.
func (e *simEntry) lastRead(table string) bergamotstore.Position {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.feedSeen[table]
}

func (e *simEntry) recordConfig(version int64, _ error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.applied[version] = time.Now()
}

// publish checks that the entry does not take its configuration for current after a newer one was acknowledged.
func (e *simEntry) publish(s *bergamotcluster.State) {
	v := s.View()
	if v.Config() == nil {
		return
	}
	if end, ok := e.sim.store.replacedAt(v.Config().Version()); ok && v.ConfirmedAt() > end {
		e.sim.t.Errorf("%s: version %d is confirmed %v after it was replaced", e.name, v.Config().Version(), v.ConfirmedAt()-end)
	}
}

// setLinks sets the state of the connections of an entry.
func (e *simEntry) setLinks(store, peers simLink) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.link, e.peerLink = store, peers
	close(e.relinked)
	e.relinked = make(chan struct{})
}

// kill ends the process of an entry, so that its connections are refused.
func (e *simEntry) kill() {
	e.cancel()
	e.setLinks(linkRefused, linkRefused)
}

// peerState returns the state of the connections to other entries, and a channel that is closed when it changes.
func (e *simEntry) peerState() (simLink, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peerLink, e.relinked
}

// recordAnswer records that the store answered a read of changes.
func (e *simEntry) recordAnswer() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answered = append(e.answered, time.Now())
}

// answerDelay returns how long after a time the store answered a read of changes for the first time, an hour if it did not.
func (e *simEntry) answerDelay(from time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, at := range e.answered {
		if !at.Before(from) {
			return at.Sub(from)
		}
	}
	return time.Hour
}

// waitLink takes the time of half a call, and waits until ctx ends while the connection is silent. Answers to calls that
// were made before are lost as well.
func (e *simEntry) waitLink(ctx context.Context, peers bool) error {
	e.mu.Lock()
	state, latency := e.link, time.Duration(e.sim.callTime.Load())/2
	if peers {
		state, latency = e.peerLink, simPeerTime/4 // each end waits once in each direction
	}
	e.mu.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(latency):
	}
	switch state {
	case linkSilent:
		<-ctx.Done()
		return ctx.Err()
	case linkRefused:
		return errUnreachable
	}
	return nil
}

// Ask passes a query on to the entry that it is for.
func (e *simEntry) Ask(ctx context.Context, to, self bergamotmirror.Peer, q bergamotmirror.Query) (reply bergamotmirror.Reply, err error) {
	e.sim.mu.Lock()
	other := e.sim.entries[to.Name()]
	e.sim.mu.Unlock()
	for _, end := range []*simEntry{e, other} {
		if err = end.waitLink(ctx, true); err != nil {
			return reply, err
		}
	}
	answered := make(chan bergamotmirror.Reply, 1)
	go func() { answered <- other.reader.Answer(ctx, self, q) }()
	for waiting := true; waiting; {
		state, changed := other.peerState()
		if state == linkRefused {
			return reply, errUnreachable
		}
		select {
		case reply = <-answered:
			waiting = false
		case <-changed:
		case <-ctx.Done():
			return reply, ctx.Err()
		}
	}
	for _, end := range []*simEntry{other, e} {
		if err = end.waitLink(ctx, true); err != nil {
			return bergamotmirror.Reply{}, err
		}
	}
	return reply, nil
}

// sources returns the entry from which each entry has the latest version of a table.
func (s *simulation) sources(table string) map[string]string {
	out := map[string]string{}
	for name, e := range s.entries {
		if source := e.reader.Mirror(table).Source(); source != "" {
			out[name] = source
		}
	}
	return out
}

// checkCycles fails the test if entries read a table through each other.
func (s *simulation) checkCycles(table string) {
	sources := s.sources(table)
	for name := range sources {
		var path []string
		for at := name; at != ""; at = sources[at] {
			if slices.Contains(path, at) {
				s.t.Errorf("%v read through each other", append(path, at))
				return
			}
			path = append(path, at)
		}
	}
}

// run lets time pass and checks for cycles every 50 ms.
func (s *simulation) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		<-time.After(min(50*time.Millisecond, time.Until(end)))
		s.checkCycles("op")
		s.checkCycles("servers")
	}
}

// ignoreTable is a table handler that does nothing.
type ignoreTable struct{}

func (ignoreTable) EraChanged(*bergamotcluster.State, int64, int64)          {}
func (ignoreTable) Replace(*bergamotcluster.State, []bergamotstore.Row)      {}
func (ignoreTable) ApplyChange(*bergamotcluster.State, bergamotstore.Change) {}
func (ignoreTable) ReadsResumed(*bergamotcluster.State, time.Duration)       {}
func (ignoreTable) ConfirmCurrent(*bergamotcluster.State, time.Duration)     {}
