package bergamotmirror_test

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotmirror"
	"bergamotspur/core/bergamottest"
)

type secondHubCase struct {
	entries int // counted before the read
	fault   func(f *fleet)
	rows    int
	relayed bool
	direct  int // calls of the second hub to the store
	role    bergamotmirror.Role
}

var _ = ginkgo.Describe("the second hub of a data centre", func() {
	const enough = 12 // entries for three hubs
	// Guards against a second hub that keeps to a first one which is gone, cut off, behind or itself a follower, against one
	// that does not look for the end of an outage, and against two entries that read through each other.
	bergamottest.Cases(map[string]secondHubCase{
		"reads the store through the first":           {entries: enough, rows: 1, relayed: true, role: bergamotmirror.RoleSecondHub},
		"reads the store while there are few entries": {entries: enough - 1, rows: 1, direct: 1},
		"reads the store when the first does not answer": {
			entries: enough, fault: func(f *fleet) { f.silent["a1"] = true }, rows: 1, direct: 1,
		},
		"reads the store when the first is cut off from it": {
			entries: enough, fault: func(f *fleet) { f.store.down["a1"] = true }, rows: 1, direct: 1,
		},
		"reads the store when the first reads through another entry": {
			entries: enough, fault: func(f *fleet) {
				f.store.down["a1"] = true
				f.readers["a1"].Peers.Avoid("a2")
				_, err := f.changes("b1", 1)
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				_, err = f.changes("a1", 1) // the first finds that it is cut off
				gomega.Expect(err).To(gomega.HaveOccurred())
				_, err = f.changes("a1", 1) // it follows the hub of the other data centre
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				gomega.Expect(f.readers["a1"].Path()).To(gomega.Equal([]string{"b1"}))
			}, rows: 1, direct: 1,
		},
		"reads the store when the first is behind it": {
			entries: enough, fault: func(f *fleet) {
				f.store.put("y", "1")
				f.readers["a2"].Mirror("t").Apply(bergamotmirror.NewUpdate(nil, false, at(3), f.clock.now+f.store.offset))
			}, rows: 2, direct: 1,
		},
		"reads the store when its slot could not be renewed": {
			entries: enough, fault: func(f *fleet) { f.readers["a2"].Peers.SetHubsUnknown() }, rows: 1, direct: 1,
		},
		"reads the store when it holds the only slot": {
			entries: enough, fault: func(f *fleet) { f.readers["a2"].Peers.SetHubs(f.hubs[1:]) }, rows: 1, direct: 1,
		},
	}, func(c secondHubCase) {
		f := newSmallFleet()
		f.clock.now += 3 * time.Second
		f.store.put("x", "2")
		f.readers["a2"].CountEntries(c.entries)
		if c.fault != nil {
			c.fault(f)
		} else {
			_, err := f.changes("a1", 1)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
		}
		clear(f.store.calls)
		reading, err := f.changes("a2", 1)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(reading.Rows()).To(gomega.HaveLen(c.rows))
		gomega.Expect(reading.Relayed()).To(gomega.Equal(c.relayed))
		gomega.Expect(f.store.calls["a2"]).To(gomega.Equal(c.direct))
		role, _ := f.readers["a2"].Role()
		gomega.Expect(role).To(gomega.Equal(c.role))
	})

	// Guards against retries that are lent twice because the entries behind the second hub count in the slots of both, and
	// against the first hub as the lender of entries that it does not count.
	ginkgo.It("counts and lends to the entries that read through it", func() {
		f := newSmallFleet()
		f.clock.now += 4 * time.Second // the leaf does not count any more where it read the table first
		f.readers["leaf"].Peers.Redirect([]bergamotmirror.Peer{f.readers["a2"].Self()})
		f.readers["a2"].CountEntries(enough)
		for _, name := range []string{"a1", "a2", "leaf"} {
			_, err := f.changes(name, 1)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
		}
		gomega.Expect(f.readers["leaf"].Path()).To(gomega.Equal([]string{"a1", "a2"}))
		hub, ok := f.readers["leaf"].Hub()
		gomega.Expect(ok).To(gomega.BeTrue())
		gomega.Expect(hub.Name()).To(gomega.Equal("a2"))
		gomega.Expect(f.readers["a1"].Downstream() + f.readers["a2"].Downstream()).To(gomega.Equal(3))
	})

	// Guards against a cycle that lasts: after slots have changed hands, each hub may take the other for the first.
	ginkgo.It("ends a cycle at once while both hubs take the other for the first", func() {
		f := newSmallFleet()
		swapped := []bergamotmirror.Hub{
			bergamotmirror.NewHub(f.readers["a2"].Self(), "a", 0, 1), bergamotmirror.NewHub(f.readers["a1"].Self(), "a", 1, 1),
		}
		f.readers["a1"].Peers.SetHubs(swapped)
		for _, name := range []string{"a1", "a2"} {
			f.readers[name].CountEntries(enough)
		}
		_, err := f.changes("a2", 1) // reads through a1
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		f.store.put("x", "2")
		clear(f.store.calls)
		reading, err := f.changes("a1", 1)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(reading.Relayed()).To(gomega.BeFalse())
		gomega.Expect(f.store.calls).To(gomega.Equal(map[string]int{"a1": 1}))
	})

	// Guards against both hubs accepting the copy of the other when they ask each other at the same moment.
	ginkgo.It("does not answer an entry that it asks at the moment", func() {
		f := newSmallFleet()
		second := f.readers["a2"]
		second.CountEntries(enough)
		var reply bergamotmirror.Reply
		second.Network = networkFunc(func() {
			reply = second.Answer(context.Background(), f.readers["a1"].Self(), bergamotmirror.NewQuery("a1", "t", at(1), 0, 0, 0))
		})
		_, err := f.changes("a2", 1)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(reply.Path()).To(gomega.BeEmpty())
		reply = second.Answer(context.Background(), f.readers["a1"].Self(), bergamotmirror.NewQuery("a1", "t", at(1), 0, 0, 0))
		gomega.Expect(reply.Path()).To(gomega.Equal([]string{"a2"}))
	})

	// Guards against a second hub without a place at the first because 16 entries took all of them.
	ginkgo.It("has a place at a first hub that is full", func() {
		f := newSmallFleet()
		first := f.readers["a1"]
		for _, n := range "abcdefghijklmnop" {
			reply := first.Answer(context.Background(), bergamotmirror.NewPeer(string(n), ""), bergamotmirror.NewQuery(string(n), "t", at(0), 0, 0, 1))
			gomega.Expect(len(reply.Path())).To(gomega.BeNumerically("<=", 1))
		}
		refused := first.Answer(context.Background(), bergamotmirror.NewPeer("late", ""), bergamotmirror.NewQuery("late", "t", at(0), 0, 0, 1))
		gomega.Expect(refused.Path()).To(gomega.BeEmpty())
		f.readers["a2"].CountEntries(enough)
		reading, err := f.changes("a2", 1)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(reading.Relayed()).To(gomega.BeTrue())
	})
})

// networkFunc is a network on which no entry answers; it calls the function for each query.
type networkFunc func()

func (n networkFunc) Ask(context.Context, bergamotmirror.Peer, bergamotmirror.Peer, bergamotmirror.Query) (bergamotmirror.Reply, error) {
	n()
	return bergamotmirror.Reply{}, errDown
}
