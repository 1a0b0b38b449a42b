package bergamotmirror_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bergamotspur/core/bergamotmirror"
	"bergamotspur/core/bergamotstore"
	"bergamotspur/core/bergamottest"
)

// restore replaces the table by a copy that lacks the latest writes.
func (s *store) restore(lost int) {
	s.changes = slices.Clone(s.changes[:len(s.changes)-lost]) // copies may still have the others
	s.era++
}

// read lets an entry read the changes after a position, and the whole table if they are not known.
func (f *fleet) read(name string, after bergamotstore.Position) bergamotmirror.Reading {
	reading, err := f.changesAfter(name, after)
	if errors.Is(err, bergamotstore.ErrHistoryDropped) {
		reading, err = f.readers[name].List(context.Background(), "t")
	}
	gomega.Expect(err).NotTo(gomega.HaveOccurred(), name)
	return reading
}

type eraCase struct {
	writes int                    // in the new era, beside the two versions that the restored copy has
	others func(f *fleet)         // what the others do before the entry reads
	has    bergamotstore.Position // of the entry's copy, at(5) if it is zero
	want   bergamotstore.Position // of the copy after the read
	whole  bool
	direct int // calls of the entry to the store
}

var _ = ginkgo.Describe("an entry after a restore of the store", func() {
	second := func(version int64) bergamotstore.Position { return bergamotstore.NewPosition(2, version) }
	hubReads := func(f *fleet) { f.read("a1", at(5)) }
	nobody := func(*fleet) {}
	// Guards against entries that refuse the copies of hubs because of their lower numbers and read the store for themselves,
	// against rows that are missed because the new numbers have passed the own one, and against a copy of the lost era in place
	// of a true one.
	bergamottest.Cases(map[string]eraCase{
		"takes the whole table of its hub although its number is lower":  {others: hubReads, want: second(2), whole: true},
		"takes the whole table of its hub when the numbers are the same": {writes: 3, others: hubReads, want: second(5), whole: true},
		"takes the whole table of its hub when the numbers have passed":  {writes: 5, others: hubReads, want: second(7), whole: true},
		"follows a hub that has not read the store since":                {others: nobody, want: at(5)},
		"reads the whole table when the numbers have passed and no hub answers": {writes: 5, others: func(f *fleet) {
			f.silent["a1"], f.silent["a2"] = true, true
		}, want: second(7), whole: true, direct: 2},
		"takes changes of the new era": {others: func(f *fleet) {
			hubReads(f)
			f.store.put("x", "later")
			f.read("a1", second(2))
		}, has: second(2), want: second(3)},
		"refuses the copy of hubs that have not read the store since":    {others: nobody, has: second(2), want: second(2), direct: 1},
		"refuses it also when its number is higher than that of the new": {writes: 1, others: nobody, has: second(3), want: second(3), direct: 1},
	}, func(c eraCase) {
		f := newSmallFleet()
		for n := range 4 {
			f.store.put("x", fmt.Sprint("lost", n))
		}
		for _, name := range []string{"a1", "a2", "leaf"} {
			f.read(name, at(1))
		}
		f.clock.now += 500 * time.Millisecond
		f.store.restore(3)
		for n := range c.writes {
			f.store.put("x", fmt.Sprint("new", n))
		}
		c.others(f)
		f.readers["leaf"].Mirror("t").Apply(bergamotmirror.NewUpdate(nil, true, c.has, 0))
		f.readers["leaf"].Peers.Redirect([]bergamotmirror.Peer{f.readers["a1"].Self()})
		f.store.calls["leaf"] = 0
		reading := f.read("leaf", cmp.Or(c.has, at(5)))
		gomega.Expect(reading.Position()).To(gomega.Equal(c.want))
		gomega.Expect(reading.Whole()).To(gomega.Equal(c.whole))
		gomega.Expect(f.readers["leaf"].Mirror("t").Position()).To(gomega.Equal(c.want))
		gomega.Expect(f.store.calls["leaf"]).To(gomega.Equal(c.direct))
	})

	// Guards against a read of the store by each of 840 entries: the store allows 2,000 reads a second.
	ginkgo.It("reads no table from the store unless it is a hub, with 840 entries in five data centres", func() {
		f := newLargeFleet()
		for n := range 4 {
			f.store.put("x", fmt.Sprint("lost", n))
		}
		for _, name := range f.names {
			f.read(name, at(1))
		}
		f.clock.now += 500 * time.Millisecond
		f.store.restore(3)
		clear(f.store.calls)
		for _, name := range f.names {
			gomega.Expect(f.read(name, at(5)).Position()).To(gomega.Equal(second(2)), name)
		}
		gomega.Expect(f.store.calls).To(gomega.HaveLen(10))
		for _, h := range f.hubs {
			gomega.Expect(f.store.calls[h.Name()]).To(gomega.BeNumerically("<=", 2)) // the changes, and the whole table
		}
	})

	// Guards against entries that read 1.6 MB each from the store because 16 of them get the table from one hub in the same
	// moment, and the answer to a query for changes may take 0.3 s more than its wait.
	ginkgo.It("asks its hub for a long table again, with more time", func() {
		f := newSmallFleet()
		f.store.put("x", strings.Repeat("x", 300<<10))
		f.store.put("y", "lost")
		for _, name := range []string{"a1", "a2", "leaf"} {
			f.read(name, at(1))
		}
		f.store.restore(1)
		f.store.put("y", "new")
		f.read("a1", at(3))
		f.readers["leaf"].Peers.Redirect([]bergamotmirror.Peer{f.readers["a1"].Self()})
		f.store.calls["leaf"] = 0
		_, err := f.changes("leaf", 3)
		gomega.Expect(err).To(gomega.MatchError(bergamotstore.ErrHistoryDropped))
		gomega.Expect(f.readers["leaf"].Mirror("t").Position()).To(gomega.Equal(at(3)))
		reading, err := f.readers["leaf"].List(context.Background(), "t")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(reading.Position()).To(gomega.Equal(second(3)))
		gomega.Expect(reading.Rows()).To(gomega.HaveLen(2))
		gomega.Expect(reading.Relayed()).To(gomega.BeTrue())
		gomega.Expect(f.store.calls["leaf"]).To(gomega.BeZero())
	})

	// Guards against the calls of all entries to the store when it answers again: each had found the copies of its hubs too old
	// in the outage, and read the whole table for itself before the hubs had it.
	ginkgo.It("asks its hub for the whole table although the hub's copy was too old a moment before", func() {
		f := newSmallFleet()
		f.store.put("x", "lost")
		for _, name := range []string{"a1", "a2", "leaf"} {
			f.read(name, at(1))
		}
		f.clock.now += 2 * time.Second
		f.store.restore(1)
		f.store.put("x", "new")
		f.store.calls["leaf"] = 0
		_, err := f.changes("leaf", 2) // both hubs have old copies
		gomega.Expect(err).To(gomega.MatchError(bergamotstore.ErrHistoryDropped))
		f.read("a1", at(2))
		f.read("a2", at(2))
		reading, err := f.readers["leaf"].List(context.Background(), "t")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(reading.Position()).To(gomega.Equal(second(2)))
		gomega.Expect(reading.Relayed()).To(gomega.BeTrue())
		gomega.Expect(f.store.calls["leaf"]).To(gomega.Equal(1))
	})
})

type mixedCase struct {
	seen   []int64                // eras that the entry has seen in answers of the store
	update bergamotstore.Position // of the reply of the other entry
	whole  bool
	want   bergamotstore.Position // of the reading
	direct int
}

// oldNetwork answers each query like an entry of a build that knows no eras.
type oldNetwork struct {
	reply bergamotmirror.Reply
}

func (n oldNetwork) Ask(context.Context, bergamotmirror.Peer, bergamotmirror.Peer, bergamotmirror.Query) (bergamotmirror.Reply, error) {
	return n.reply, nil
}

var _ = ginkgo.Describe("entries of a build without eras", func() {
	unknown := func(version int64) bergamotstore.Position { return bergamotstore.NewPosition(0, version) }
	// Guards against entries that read the store for themselves during each replacement of a build, and against a copy of a
	// lost era that names none.
	bergamottest.Cases(map[string]mixedCase{
		"are followed before a restore":                 {seen: []int64{1}, update: unknown(6), want: at(6)},
		"are followed in a later era that is the first": {seen: []int64{3}, update: unknown(6), want: bergamotstore.NewPosition(3, 6)},
		"give whole tables before a restore":            {seen: []int64{1}, update: unknown(6), whole: true, want: at(6)},
		"are not followed after a restore":              {seen: []int64{1, 2}, update: unknown(6), want: bergamotstore.NewPosition(2, 1), direct: 1},
		"give no whole tables after a restore":          {seen: []int64{1, 2}, update: unknown(6), whole: true, want: bergamotstore.NewPosition(2, 1), direct: 1},
		"are followed by number without a known era":    {seen: []int64{0}, update: unknown(6), want: unknown(6)},
		"are not followed when their number is lower":   {seen: []int64{1}, update: unknown(0), want: at(1), direct: 1},
	}, func(c mixedCase) {
		f := newSmallFleet()
		r := f.add("late", "a", false)
		r.Network = nil
		for _, era := range c.seen {
			f.store.era = era
			f.read("late", bergamotstore.NewPosition(era, 0))
		}
		has := r.Mirror("t").Position()
		r.Network = oldNetwork{bergamotmirror.NewReply(bergamotmirror.NewUpdate(nil, c.whole, c.update, f.clock.now+f.store.offset), []string{"a1"}, 0, false)}
		r.Peers.SetHubs(f.hubs)
		f.store.calls["late"] = 0
		reading := f.read("late", has)
		gomega.Expect(reading.Position()).To(gomega.Equal(c.want))
		gomega.Expect(f.store.calls["late"]).To(gomega.Equal(c.direct))
	})

	// Guards against whole tables with each answer to an entry that cannot tell in which era it is.
	ginkgo.It("get changes by number", func() {
		f := newSmallFleet()
		f.store.put("x", "2")
		f.store.restore(0)
		f.read("a1", at(1))
		f.store.put("x", "3")
		f.read("a1", bergamotstore.NewPosition(2, 2))
		for has, want := range map[int64]int{2: 1, 3: 0, 9: 0} {
			q := bergamotmirror.NewQuery("old", "t", unknown(has), 0, 0, 1)
			reply := f.readers["a1"].Answer(context.Background(), bergamotmirror.NewPeer("old", ""), q)
			gomega.Expect(reply.Update().Whole()).To(gomega.BeFalse())
			gomega.Expect(reply.Update().Changes()).To(gomega.HaveLen(want))
			gomega.Expect(reply.Update().Position()).To(gomega.Equal(bergamotstore.NewPosition(2, 3)))
		}
	})
})

// TestCopiesAcrossEras guards against copies that go back or mix rows of two eras, for any order of writes, restores, reads and
// entries that do not answer.
func TestCopiesAcrossEras(t *testing.T) {
	gomega.RegisterTestingT(t)
	rapid.Check(t, func(t *rapid.T) {
		f := newSmallFleet()
		names := []string{"a1", "a2", "b1", "leaf"}
		truth := map[bergamotstore.Position]map[string]string{}
		record := func() {
			rows := map[string]string{}
			for _, c := range f.store.changes {
				rows[c.Row().Key()] = string(c.Row().Value())
			}
			truth[bergamotstore.NewPosition(f.store.era, int64(len(f.store.changes)))] = rows
		}
		record()
		has := map[string]bergamotstore.Position{}
		for _, name := range names {
			has[name] = at(1)
		}
		f.readers["a2"].CountEntries(12)
		for n := range rapid.IntRange(10, 60).Draw(t, "steps") {
			name := rapid.SampledFrom(names).Draw(t, "name")
			f.clock.now += time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1:
				f.store.put(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "key"), fmt.Sprint(n))
				record()
			case 2:
				f.store.restore(rapid.IntRange(0, len(f.store.changes)-1).Draw(t, "lost"))
				record()
			case 3:
				f.silent[name] = !f.silent[name]
			default:
				reading := f.read(name, has[name])
				if reading.Position().IsBefore(has[name]) {
					t.Fatalf("%s goes back from %v to %v", name, has[name], reading.Position())
				}
				has[name] = reading.Position()
			}
			for _, name := range names {
				u, _, _ := f.readers[name].Mirror("t").Since(bergamotstore.Position{})
				rows := map[string]string{}
				for _, r := range u.Rows() {
					rows[r.Key()] = string(r.Value())
				}
				gomega.Expect(rows).To(gomega.Equal(truth[u.Position()]), "%s at %v", name, u.Position())
			}
		}
	})
}
