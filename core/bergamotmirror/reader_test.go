package bergamotmirror_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bergamotspur/core/bergamotmirror"
	"bergamotspur/core/bergamotstore"
	"bergamotspur/core/bergamottest"
)

type confirmCase struct {
	reads [][2]time.Duration // start of each read, and the store's clock in its answer
	want  time.Duration      // time that the last read confirms
}

// fixedStore answers each call with the time of the store's clock that a test sets.
type fixedStore struct{ storeTime time.Duration }

func (s *fixedStore) List(context.Context, string) ([]bergamotstore.Row, bergamotstore.Position, time.Duration, error) {
	return nil, at(1), s.storeTime, nil
}

func (s *fixedStore) Changes(context.Context, string, bergamotstore.Position, time.Duration) ([]bergamotstore.Change, bergamotstore.Position, time.Duration, error) {
	return nil, at(1), s.storeTime, nil
}

var _ = ginkgo.Describe("the time that a read confirms", func() {
	const s = time.Second
	// Guards against keys that are refused seconds too early because a read that waited for changes confirms only its
	// start, and against a confirmed time after the answer.
	bergamottest.Cases(map[string]confirmCase{
		"is its start without the store's clock":                 {[][2]time.Duration{{9 * s, 0}}, 9 * s},
		"is its start for the first read":                        {[][2]time.Duration{{9 * s, 100 * s}}, 9 * s},
		"is when the store answered after a wait for changes":    {[][2]time.Duration{{9 * s, 100 * s}, {10 * s, 103 * s}}, 12 * s},
		"is never before its start":                              {[][2]time.Duration{{9 * s, 100 * s}, {12 * s, 101 * s}}, 12 * s},
		"is not after the answer when the first answer was late": {[][2]time.Duration{{9 * s, 102 * s}, {12 * s, 105 * s}}, 12 * s},
		"uses the tightest bound of all reads so far":            {[][2]time.Duration{{9 * s, 102 * s}, {13 * s, 104 * s}, {14 * s, 107 * s}}, 16 * s},
		"ignores reads from before the previous window":          {[][2]time.Duration{{9 * s, 100 * s}, {400 * s, 495 * s}, {800 * s, 895 * s}, {1200 * s, 1297 * s}}, 1202 * s},
	}, func(c confirmCase) {
		clock, store := &clock{}, &fixedStore{}
		r := &bergamotmirror.Reader{Clock: clock, Store: store, Peers: &bergamotmirror.Peers{Now: clock.Uptime}}
		r.Init()
		var reading bergamotmirror.Reading
		for n, read := range c.reads {
			clock.now, store.storeTime = read[0], read[1]
			var err error
			if reading, err = r.List(context.Background(), "t"); n > 0 {
				reading, err = r.Changes(context.Background(), "t", at(1), s)
			}
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
		}
		gomega.Expect(reading.AsOf()).To(gomega.Equal(c.want))
	})
})

var _ = ginkgo.Describe("840 entries in five data centres", func() {
	// Guards against calls to the store, queries to one entry and stale copies that grow with the number of entries.
	ginkgo.It("read a change with one call of each hub and at most 16 queries to each entry", func() {
		f := newLargeFleet()
		clear(f.store.calls)
		clear(f.asked)
		f.store.put("x", "2")
		for _, name := range f.names {
			reading, err := f.changes(name, 1)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(reading.Rows()).To(gomega.HaveLen(1), name)
			gomega.Expect(string(reading.Rows()[0].Value())).To(gomega.Equal("2"), name)
		}
		gomega.Expect(f.store.calls).To(gomega.HaveLen(10))
		for name, n := range f.asked {
			gomega.Expect(n).To(gomega.BeNumerically("<=", 16), name)
		}
		for _, h := range f.hubs {
			gomega.Expect(f.store.calls[h.Name()]).To(gomega.Equal(1))
		}
		// An entry that is read through tells its hub of those that follow it with its next read, whatever the order of the
		// first ones was.
		for _, name := range f.names {
			_, err := f.changes(name, 1)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
		}
		total := 0
		for _, h := range f.hubs {
			total += f.readers[h.Name()].Downstream()
		}
		gomega.Expect(total).To(gomega.Equal(840))
	})
})

type faultCase struct {
	fault     func(f *fleet)
	rows      int // rows that the entry reads
	err       error
	direct    int  // calls of the entry to the store
	relayed   bool // the answer comes from another entry
	notWaited bool // the call to the store must not wait for changes
}

var _ = ginkgo.Describe("an entry that follows another one", func() {
	hubs := func(set func(name string)) {
		for _, name := range []string{"a1", "a2"} {
			set(name)
		}
	}
	// Guards against an entry that keeps to a hub which is gone or cut off although the store would answer, against one
	// without a current configuration although another entry has it, and against calls by all entries during an outage.
	bergamottest.Cases(map[string]faultCase{
		"gets changes from a hub":                    {fault: func(*fleet) {}, rows: 1, relayed: true},
		"reads the store when no hub answers":        {fault: func(f *fleet) { hubs(func(n string) { f.silent[n] = true }) }, rows: 1, direct: 1, notWaited: true},
		"reads the store when the hubs do not reach": {fault: func(f *fleet) { hubs(func(n string) { f.store.down[n] = true }) }, rows: 1, direct: 1, notWaited: true},
		"follows the other hub when its own is cut off, and a hub of another data centre when it is cut off with both": {
			fault: func(f *fleet) {
				hubs(func(n string) { f.store.down[n] = true })
				f.store.down["leaf"] = true
			}, rows: 1, relayed: true, direct: 1,
		},
		"rarely calls a store that answers nobody": {fault: func(f *fleet) { f.store.down[""] = true }, err: bergamotmirror.ErrStale, direct: 1},
	}, func(c faultCase) {
		f := newSmallFleet()
		f.clock.now += 3 * time.Second
		f.store.put("x", "2")
		c.fault(f)
		clear(f.store.calls)
		var reading bergamotmirror.Reading
		var err error
		for range 4 { // hubs read, then the entry that follows them, in turn
			for _, hub := range []string{"a1", "a2", "b1"} {
				_, _ = f.changes(hub, 1) // fails while the store does not answer it
			}
			f.store.waits = nil
			if reading, err = f.changes("leaf", 1); err == nil {
				break
			}
			f.clock.now += 100 * time.Millisecond
		}
		if c.err != nil {
			gomega.Expect(err).To(gomega.MatchError(c.err))
		} else {
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
		}
		gomega.Expect(reading.Rows()).To(gomega.HaveLen(c.rows))
		gomega.Expect(reading.Relayed()).To(gomega.Equal(c.relayed))
		gomega.Expect(f.store.calls["leaf"]).To(gomega.Equal(c.direct))
		if c.notWaited {
			gomega.Expect(f.store.waits).To(gomega.Equal([]time.Duration{0}))
		}
	})

	// Guards against two entries that confirm each other's stale copy after one of them has lost its hub.
	ginkgo.It("is not answered by an entry that reads through it", func() {
		f := newSmallFleet()
		f.add("lower", "a", false).Peers.Redirect([]bergamotmirror.Peer{f.readers["leaf"].Self()})
		_, err := f.readers["lower"].List(context.Background(), "t")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		reply := f.readers["lower"].Answer(context.Background(), f.readers["leaf"].Self(), bergamotmirror.NewQuery("leaf", "t", at(1), 0, 0, 1))
		gomega.Expect(reply.Path()).To(gomega.BeEmpty())
	})

	// Guards against an entry that calls the store with each read while its hub, which reads some tables rarely, is behind it: it
	// has read the store itself while it found no other entry to follow.
	ginkgo.It("does not call the store while its hub is behind it and its own copy is current", func() {
		f := newSmallFleet()
		leaf := f.readers["leaf"]
		f.store.put("x", "2")
		leaf.Network = nil
		_, err := f.changes("leaf", 1)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		leaf.Network = f
		clear(f.store.calls)
		readAt := f.clock.now
		for range 3 {
			f.clock.now += 500 * time.Millisecond
			reading, err := f.changes("leaf", 2)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(reading.Position()).To(gomega.Equal(at(2)))
			gomega.Expect(reading.AsOf()).To(gomega.Equal(readAt))
		}
		gomega.Expect(f.store.calls["leaf"]).To(gomega.BeZero())
		f.clock.now += 200 * time.Millisecond
		_, err = f.changes("leaf", 2)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(f.store.calls["leaf"]).To(gomega.Equal(1))
	})

	// Guards against a change that takes effect only three seconds after its acknowledgement because the entry in between is
	// cut off just after it has answered: the next answer must not wait past the time at which the copy counts as old.
	ginkgo.It("does not wait for longer than its copy counts as current", func() {
		f := newSmallFleet()
		f.clock.now += 1500 * time.Millisecond
		_, err := f.changes("leaf", 1)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(f.lastWait).To(gomega.BeNumerically("<=", 100*time.Millisecond))
		f.clock.now += 100 * time.Millisecond
		f.store.put("x", "2")
		reading, err := f.changes("leaf", 1)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(reading.Relayed()).To(gomega.BeFalse())
		gomega.Expect(reading.Rows()).To(gomega.HaveLen(1))
	})

	// Guards against a runner that has left, or a key that was withdrawn, in use again because the whole table is read from
	// an entry that is behind (it has read the store a second ago).
	ginkgo.It("does not go back to an older table", func() {
		f := newSmallFleet()
		f.clock.now += time.Second
		f.store.put("x", "2")
		f.silent["a1"], f.silent["a2"] = true, true
		reading, err := f.changes("leaf", 1)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(reading.Position()).To(gomega.Equal(at(2)))
		f.silent["a1"], f.silent["a2"] = false, false
		f.clock.now += 2 * time.Second // the hubs are asked again, but their copies still count as current
		f.readers["a1"].Mirror("t").Apply(bergamotmirror.NewUpdate(nil, false, at(1), f.clock.now+f.store.offset))
		f.readers["a2"].Mirror("t").Apply(bergamotmirror.NewUpdate(nil, false, at(1), f.clock.now+f.store.offset))
		reading, err = f.readers["leaf"].List(context.Background(), "t")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(reading.Position()).To(gomega.Equal(at(2)))
	})

	// Guards against changes that are lost because the entry is behind the history of the one that it follows.
	ginkgo.It("reads the whole table when it is behind the history", func() {
		f := newSmallFleet()
		for n := range 10 {
			for range 500 {
				f.store.put(fmt.Sprint("y", len(f.store.changes)), "")
			}
			for _, hub := range []string{"a1", "a2"} {
				_, err := f.changes(hub, int64(1+500*n))
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
			}
		}
		reading, err := f.changes("leaf", 1)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(reading.Whole()).To(gomega.BeTrue())
		gomega.Expect(reading.Relayed()).To(gomega.BeTrue())
		gomega.Expect(len(reading.Rows())).To(gomega.BeNumerically(">", 4000))
	})
})

// TestRelayedTime guards against a key that is still accepted after its time because an answer that was passed on seems
// to be newer than it is, for any delays of the calls in between.
func TestRelayedTime(t *testing.T) {
	gomega.RegisterTestingT(t)
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(400*time.Millisecond)).Draw(t, label))
		}
		f := newSmallFleet()
		for range 4 {
			f.store.latency = draw("latency")
			err := f.readHubs(draw)
			if err != nil {
				t.Fatal(err)
			}
			answered := f.clock.now
			f.clock.now += draw("pause")
			reading, err := f.changes("leaf", 1)
			if err != nil {
				t.Fatal(err)
			}
			if reading.Relayed() && reading.AsOf() > answered {
				t.Fatalf("%v is after the answer of the store at %v", reading.AsOf(), answered)
			}
		}
	})
}

// readHubs lets both hubs of data centre a read, at most 400 ms apart.
func (f *fleet) readHubs(draw func(string) time.Duration) error {
	if _, err := f.changes("a1", 1); err != nil {
		return err
	}
	f.clock.now += draw("between")
	_, err := f.changes("a2", 1)
	return err
}
