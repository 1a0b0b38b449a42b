package bergamotcluster_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotcluster"
	"bergamotspur/core/bergamotmirror"
	"bergamotspur/core/bergamottest"
)

// hubTable is the table of the hubs in memory.
type hubTable struct {
	now      func() time.Time
	rows     map[string]bergamotmirror.Hub
	written  map[string]time.Time
	revision map[string]int64
	calls    int
	reads    int  // of all hubs
	vacant   bool // the other hub says that one is missing
	err      error
	era      int64
}

// copy returns a copy of the table.
func (t *hubTable) copy() *hubTable {
	c := *t
	c.rows, c.written, c.revision = maps.Clone(t.rows), maps.Clone(t.written), maps.Clone(t.revision)
	return &c
}

// restore replaces the rows by those of an older copy in a new era.
func (t *hubTable) restore(older *hubTable) {
	t.rows, t.written, t.revision, t.era = older.rows, older.written, older.revision, t.era+1
}

func newHubTable(now func() time.Time) *hubTable {
	return &hubTable{now: now, rows: map[string]bergamotmirror.Hub{}, written: map[string]time.Time{}, revision: map[string]int64{}, era: 1}
}

func (t *hubTable) put(h bergamotmirror.Hub) (key string) {
	key = fmt.Sprint(h.Centre(), h.Slot())
	t.rows[key], t.written[key] = h, t.now()
	t.revision[key]++
	return key
}

func (t *hubTable) slot(key string) bergamotcluster.HubSlot {
	return bergamotcluster.NewHubSlot(t.rows[key], t.revision[key], t.now().Sub(t.written[key])).In(t.era)
}

func (t *hubTable) Hubs(context.Context) (slots []bergamotcluster.HubSlot, err error) {
	t.calls++
	t.reads++
	for key := range t.rows {
		slots = append(slots, t.slot(key))
	}
	return slots, t.err
}

func (t *hubTable) PutHub(_ context.Context, h bergamotmirror.Hub, revision int64) (s bergamotcluster.HubSlot, ok bool, err error) {
	t.calls++
	key := fmt.Sprint(h.Centre(), h.Slot())
	if t.err != nil || t.revision[key] != revision {
		return t.slot(key), false, t.err
	}
	return t.slot(t.put(h)), true, nil
}

// hubReader counts one entry behind each hub, and says that hubs are missing while the table has too few.
type hubReader struct {
	entries int
	table   *hubTable
}

func (r *hubReader) Downstream() int    { return 1 }
func (r *hubReader) CountEntries(n int) { r.entries = n }
func (r *hubReader) Entries() int       { return r.entries }
func (r *hubReader) SetVacant(bool)     {}
func (r *hubReader) Vacant() bool       { return r.table.vacant }

// newHubs returns the controller of an entry whose name is also its address.
func newHubs(t *hubTable, name, centre string) *bergamotcluster.Hubs {
	return &bergamotcluster.Hubs{
		Centre: centre, Self: func() bergamotmirror.Peer { return bergamotmirror.NewPeer(name, name) }, Table: t, Reader: &hubReader{table: t},
		Peers: &bergamotmirror.Peers{
			Centre: centre, Name: name, Random: func(int) int { return 0 }, Now: func() time.Duration { return t.now().Sub(start) },
		},
		Random: rand.New(rand.NewPCG(1, 2)).Float64, Stopping: func() bool { return false },
		OnChange: func(bool, int, error) {}, OnCount: func(int) {}, OnRegister: func(int, bool) {},
	}
}

// hubFleet is a number of entries in one data centre.
type hubFleet struct {
	state   *bergamotcluster.State // only its time is shared
	table   *hubTable
	entries map[string]*bergamotcluster.Hubs
	states  map[string]*bergamotcluster.State
}

func newHubFleet(n int) *hubFleet {
	f := &hubFleet{state: newState(0), entries: map[string]*bergamotcluster.Hubs{}, states: map[string]*bergamotcluster.State{}}
	f.table = newHubTable(f.state.Now)
	for i := range n {
		f.startEntry(fmt.Sprint("e", i))
	}
	return f
}

// startEntry starts an entry, or a new process of a known one.
func (f *hubFleet) startEntry(name string) {
	f.entries[name], f.states[name] = newHubs(f.table, name, "a"), newState(0)
}

// run lets all entries act for a time.
func (f *hubFleet) run(d time.Duration) {
	for end := f.state.Now().Add(d); f.state.Now().Before(end); f.state.SetTime(f.state.Now().Add(100 * time.Millisecond)) {
		for name, e := range f.entries {
			f.states[name].SetTime(f.state.Now())
			runTasks(f.states[name], e.Reconcile(f.states[name]))
		}
	}
}

// restore replaces the table by an older copy; if noticed is set, the entries learn of it from another table.
func (f *hubFleet) restore(older *hubTable, noticed bool) {
	f.table.restore(older)
	for _, s := range f.states {
		if noticed {
			s.SetTime(f.state.Now())
			(&bergamotcluster.ConfigHandler{}).EraChanged(s, 1, 2)
		}
	}
}

// hubs returns the entries that are hubs by their own account.
func (f *hubFleet) hubs() (names []string) {
	for name, e := range f.entries {
		if e.Peers.(*bergamotmirror.Peers).IsHub() {
			names = append(names, name)
		}
	}
	return names
}

type hubCase struct {
	before func(f *hubFleet, hub string) // what happens to one of the hubs
	after  time.Duration                 // by when the data centre has two hubs again
	same   bool                          // whether the entry is still a hub then
}

var _ = ginkgo.Describe("hubs", func() {
	// Guards against calls to the store that grow with the number of entries: 840 entries in five data centres that each
	// registered and read all registrations made 140 calls a second for 3.7 MB/s.
	ginkgo.It("cost the store the same calls with ten times the entries", func() {
		calls := map[int]int{}
		for _, n := range []int{17, 168} {
			f := newHubFleet(n)
			f.run(30 * time.Second)
			gomega.Expect(f.hubs()).To(gomega.HaveLen(2))
			f.table.calls = 0
			f.run(time.Minute)
			calls[n] = f.table.calls
		}
		gomega.Expect(calls[168]).To(gomega.BeNumerically("<=", calls[17]*11/10), "calls in a minute: %v", calls)
	})

	// Guards against a data centre without hubs, whose entries all read the store by themselves, and against hubs that
	// change places with every restart of a process.
	bergamottest.Cases(map[string]hubCase{
		"are replaced after one was lost": {before: func(f *hubFleet, hub string) { delete(f.entries, hub) }, after: 22 * time.Second},
		"are replaced soon after one stops": {
			before: func(f *hubFleet, hub string) { f.entries[hub].Stopping = func() bool { return true } }, after: 5 * time.Second,
		},
		"stay hubs after a restart": {before: func(f *hubFleet, hub string) { f.startEntry(hub) }, after: time.Second, same: true},
		"stay hubs after an outage of the store": {before: func(f *hubFleet, _ string) {
			f.table.err = errStoreDown
			f.run(20 * time.Second)
			f.table.err = nil
		}, after: 4 * time.Second, same: true},
		"stay hubs after a restore of a copy without their rows": {before: func(f *hubFleet, _ string) {
			f.restore(newHubTable(f.state.Now), true)
		}, after: 200 * time.Millisecond, same: true},
		"stay hubs after a restore that they hear of from no table": {before: func(f *hubFleet, _ string) {
			f.restore(newHubTable(f.state.Now), false)
		}, after: 4100 * time.Millisecond, same: true},
		"stay hubs after a restore of a copy with earlier holders": {before: func(f *hubFleet, _ string) {
			older := f.table.copy()
			older.put(bergamotmirror.NewHub(bergamotmirror.NewPeer("x", "x"), "a", 0, 1))
			older.put(bergamotmirror.NewHub(bergamotmirror.NewPeer("y", "y"), "a", 1, 1))
			f.restore(older, true)
		}, after: 200 * time.Millisecond, same: true},
		"stay hubs after a restore and a failed registration": {before: func(f *hubFleet, _ string) {
			f.table.err = errStoreDown
			f.run(5 * time.Second)
			f.table.err = nil
			older := f.table.copy()
			older.put(bergamotmirror.NewHub(bergamotmirror.NewPeer("x", "x"), "a", 0, 1))
			f.restore(older, true)
		}, after: 200 * time.Millisecond, same: true},
	}, func(c hubCase) {
		f := newHubFleet(12)
		f.run(10 * time.Second)
		gomega.Expect(f.hubs()).To(gomega.HaveLen(2))
		hub := f.hubs()[0]
		c.before(f, hub)
		f.table.vacant = !c.same
		f.run(c.after)
		if !c.same {
			delete(f.entries, hub)
		}
		gomega.Expect(f.hubs()).To(gomega.HaveLen(2))
		if c.same {
			gomega.Expect(f.hubs()).To(gomega.ContainElement(hub))
		}
	})

	// Guards against two entries that hold one slot for good because the answer to a registration was lost.
	ginkgo.It("give way to the entry that holds their slot", func() {
		f := newHubFleet(1)
		f.run(5 * time.Second)
		f.table.put(bergamotmirror.NewHub(bergamotmirror.NewPeer("x", "x"), "a", 0, 1))
		f.table.put(bergamotmirror.NewHub(bergamotmirror.NewPeer("y", "y"), "a", 1, 1))
		f.run(5 * time.Second)
		gomega.Expect(f.hubs()).To(gomega.BeEmpty())
	})

	// Guards against two entries that take a slot from each other again and again after a restore.
	ginkgo.It("write a lost slot again only once", func() {
		f := newHubFleet(1)
		f.run(5 * time.Second)
		f.restore(newHubTable(f.state.Now), true)
		f.run(time.Second)
		gomega.Expect(f.hubs()).To(gomega.HaveLen(1))
		for n := range 2 {
			f.table.put(bergamotmirror.NewHub(bergamotmirror.NewPeer("x", "x"), "a", n, 1))
		}
		f.run(5 * time.Second)
		gomega.Expect(f.hubs()).To(gomega.BeEmpty())
	})

	// Guards against a share of the retry budget that is too large because the first registrations count hubs only, and
	// against entries without any after all of them were killed.
	ginkgo.It("count entries only after others had time to follow them, but at once after a restart", func() {
		f := newHubFleet(1)
		f.run(2500 * time.Millisecond)
		gomega.Expect(f.entries["e0"].Reader.Entries()).To(gomega.Equal(0))
		f.run(time.Second)
		gomega.Expect(f.entries["e0"].Reader.Entries()).To(gomega.Equal(1))
		f.startEntry("e0")
		f.run(100 * time.Millisecond)
		gomega.Expect(f.entries["e0"].Reader.Entries()).To(gomega.Equal(1))
	})

	// Guards against hubs that lend for the same entries: without the store, these tried one hub after the other and counted
	// at each of them, so that 543 retries were lent in ten seconds where 169 may be.
	bergamottest.Cases(map[string]registerCase{
		"report their entries, which no other hub can have counted, at first": {settled: true, entries: 1},
		"do so again after a restart": {
			settled: true, entries: 1, before: func(f *hubFleet, hub string) { f.startEntry(hub) },
		},
		"report that the one that they replace may have counted them": {entries: 1, before: func(f *hubFleet, hub string) {
			delete(f.entries, hub)
			f.run(15 * time.Second)
		}},
		"report nothing new without the store": {before: func(f *hubFleet, _ string) { f.table.err = errStoreDown }},
		"report that they are none any more": {zero: true, before: func(f *hubFleet, _ string) {
			f.table.put(bergamotmirror.NewHub(bergamotmirror.NewPeer("x", "x"), "a", 0, 1))
			f.table.put(bergamotmirror.NewHub(bergamotmirror.NewPeer("y", "y"), "a", 1, 1))
		}},
	}, func(c registerCase) {
		f := newHubFleet(3)
		if c.before != nil {
			f.run(10 * time.Second)
			hub := f.hubs()[0]
			f.table.vacant = true
			c.before(f, hub)
		}
		var calls []registerCall
		for _, e := range f.entries {
			e.OnRegister = func(entries int, settled bool) { calls = append(calls, registerCall{entries, settled}) }
		}
		f.run(8 * time.Second)
		want := gomega.BeEmpty()
		switch {
		case c.zero:
			want = gomega.ContainElements(registerCall{}, registerCall{})
		case c.settled:
			want = gomega.HaveEach(registerCall{c.entries, true})
		case c.entries > 0:
			want = gomega.ContainElement(registerCall{c.entries, false})
		}
		gomega.Expect(calls).To(want)
	})
})

// registerCall is a call of OnRegister.
type registerCall struct {
	entries int
	settled bool
}

type registerCase struct {
	before  func(f *hubFleet, hub string)
	entries int
	settled bool
	zero    bool // both hubs have lost their slots
}

type lackCase struct {
	follows bool // the entry follows a hub, and reads the others every four minutes
	lacking bool
	min     int // reads of the hubs in 9 s
	max     int
}

var _ = ginkgo.Describe("an entry that looks in vain for other entries", func() {
	// Guards against an entry that is cut off and knows none that has started since it last read the hubs, against entries that read
	// them all the time, and against reads that calm days would pay for.
	bergamottest.Cases(map[string]lackCase{
		"reads the hubs again as a hub":      {lacking: true, min: 2, max: 4},
		"reads the hubs again as a follower": {follows: true, lacking: true, min: 2, max: 4},
		"reads them seldom otherwise":        {min: 1, max: 1},
		"does not read them as a follower":   {follows: true},
	}, func(c lackCase) {
		s := newState(0)
		table := newHubTable(s.Now)
		for n := range 2 {
			if c.follows {
				table.put(bergamotmirror.NewHub(bergamotmirror.NewPeer(fmt.Sprint("e", n), "x:1"), "a", n, 1))
			}
		}
		hubs := newHubs(table, "self", "a")
		hubs.Lacking = func() bool { return c.lacking }
		runTasks(s, hubs.Reconcile(s))
		before := table.reads
		for range 90 {
			s.SetTime(s.Now().Add(100 * time.Millisecond))
			runTasks(s, hubs.Reconcile(s))
		}
		gomega.Expect(table.reads - before).To(gomega.And(gomega.BeNumerically(">=", c.min), gomega.BeNumerically("<=", c.max)))
	})
})
