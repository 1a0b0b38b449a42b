package bergamotmirror_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotmirror"
	"bergamotspur/core/bergamotstore"
)

var errDown = errors.New("it does not answer")

// clock is a clock that moves only when a test sets it and whose timers fire at once.
type clock struct{ now time.Duration }

func (c *clock) Uptime() time.Duration { return c.now }

func (c *clock) After(time.Duration) <-chan time.Time {
	ch := make(chan time.Time, 1)
	ch <- time.Time{}
	return ch
}

// store is a store with one table. Its clock is ahead of that of the entries by offset.
type store struct {
	clock   *clock
	offset  time.Duration
	changes []bergamotstore.Change
	era     int64
	latency time.Duration   // time that passes before each answer
	down    map[string]bool // entries that it does not answer, by name; "" for all
	calls   map[string]int
	waits   []time.Duration
}

func (s *store) put(key, value string) {
	version := int64(len(s.changes) + 1)
	s.changes = append(s.changes, bergamotstore.NewChange(bergamotstore.NewRow(key, version, []byte(value)), false))
}

// client is the store as one entry sees it.
type client struct {
	*store
	entry string
}

func (s client) answer() (p bergamotstore.Position, storeTime time.Duration, err error) {
	s.calls[s.entry]++
	if s.down[s.entry] || s.down[""] {
		return p, 0, errDown
	}
	s.clock.now += s.latency
	return bergamotstore.NewPosition(s.era, int64(len(s.changes))), s.clock.now + s.offset, nil
}

func (s client) List(context.Context, string) (rows []bergamotstore.Row, p bergamotstore.Position, storeTime time.Duration, err error) {
	p, storeTime, err = s.answer()
	latest := map[string]bergamotstore.Row{}
	for _, c := range s.changes {
		latest[c.Row().Key()] = c.Row()
	}
	for _, r := range latest {
		rows = append(rows, r)
	}
	return rows, p, storeTime, err
}

func (s client) Changes(_ context.Context, _ string, after bergamotstore.Position, wait time.Duration) (
	changes []bergamotstore.Change, p bergamotstore.Position, storeTime time.Duration, err error,
) {
	s.waits = append(s.waits, wait)
	p, storeTime, err = s.answer()
	if err == nil && (p.Era() != after.Era() || p.IsBefore(after)) {
		return nil, p, 0, bergamotstore.ErrHistoryDropped
	}
	return s.changes[min(after.Number(), p.Number()):], p, storeTime, err
}

// fleet is a number of entries in data centres, with the store that they read.
type fleet struct {
	clock   *clock
	store   *store
	hubs    []bergamotmirror.Hub
	names   []string // in the order in which they were started
	readers map[string]*bergamotmirror.Reader
	silent  map[string]bool // entries that do not answer others
	asked   map[string]int  // queries by the entry that answered

	lastWait time.Duration // of the last query
}

func newFleet() *fleet {
	c := &clock{now: time.Hour}
	return &fleet{
		clock: c, readers: map[string]*bergamotmirror.Reader{}, silent: map[string]bool{}, asked: map[string]int{},
		store: &store{clock: c, era: 1, offset: 1000 * time.Hour, down: map[string]bool{}, calls: map[string]int{}},
	}
}

// add starts an entry. A hub gets the next slot of its data centre.
func (f *fleet) add(name, centre string, isHub bool) *bergamotmirror.Reader {
	random := rand.New(rand.NewPCG(1, uint64(len(f.names))))
	r := &bergamotmirror.Reader{
		Clock: f.clock, Store: client{f.store, name}, Network: f,
		Self:  func() bergamotmirror.Peer { return bergamotmirror.NewPeer(name, name) },
		Peers: &bergamotmirror.Peers{Centre: centre, Name: name, Random: random.IntN, Now: f.clock.Uptime, MinEntriesPerHub: 4},
	}
	r.Init()
	f.names, f.readers[name] = append(f.names, name), r
	if isHub {
		f.hubs = append(f.hubs, bergamotmirror.NewHub(r.Self(), centre, len(f.hubs), 1))
	}
	r.ObserveStore(f.clock.now, f.clock.now+f.store.offset)
	return r
}

// start tells all entries the hubs and lets each read the table, the hubs first.
func (f *fleet) start() {
	for _, r := range f.readers {
		r.Peers.SetHubs(f.hubs)
	}
	for _, name := range f.names {
		_, err := f.readers[name].List(context.Background(), "t")
		gomega.Expect(err).NotTo(gomega.HaveOccurred(), name)
	}
}

// Ask passes a query on to the entry that it is for.
func (f *fleet) Ask(ctx context.Context, to, self bergamotmirror.Peer, q bergamotmirror.Query) (bergamotmirror.Reply, error) {
	if f.silent[to.Name()] {
		return bergamotmirror.Reply{}, errDown
	}
	f.asked[to.Name()]++
	f.lastWait = q.Wait()
	return f.readers[to.Name()].Answer(ctx, self, q), nil
}

// changes lets an entry read what changed after a version of the first era.
func (f *fleet) changes(name string, after int64) (bergamotmirror.Reading, error) {
	return f.changesAfter(name, at(after))
}

// changesAfter lets an entry read what changed after a position.
func (f *fleet) changesAfter(name string, after bergamotstore.Position) (bergamotmirror.Reading, error) {
	return f.readers[name].Changes(context.Background(), "t", after, 4*time.Second)
}

// at returns the position at a version of the first era.
func at(version int64) bergamotstore.Position { return bergamotstore.NewPosition(1, version) }

// newSmallFleet returns a fleet with two hubs and one other entry in data centre a, and a hub in b.
func newSmallFleet() *fleet {
	f := newFleet()
	f.store.put("x", "1")
	f.add("a1", "a", true)
	f.add("a2", "a", true)
	f.add("b1", "b", true)
	f.add("leaf", "a", false)
	f.start()
	return f
}

// newLargeFleet returns 840 entries in five data centres, of which two each are hubs.
func newLargeFleet() *fleet {
	f := newFleet()
	f.store.put("x", "1")
	for n := range 840 {
		f.add(fmt.Sprint("e", n), fmt.Sprint("c", n%5), n < 10)
	}
	f.start()
	return f
}
