package bergamotcluster_test

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotcluster"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotlease"
	"bergamotspur/core/bergamotstore"
	"bergamotspur/core/bergamottest"
)

// steps counts the steps of a lease that another entry holds.
type steps struct{ n int }

func (s *steps) AcquireOrRenew(context.Context) (bergamotlease.Grant, error) {
	s.n++
	return bergamotlease.Grant{}, nil
}

func (s *steps) Release(context.Context) error { return nil }

// place gives a fixed number of entries and place among them.
type place struct{ entries, rank int }

func (p place) Register(context.Context, string, time.Duration) (int, int, error) {
	return p.entries, p.rank, nil
}

type seekCase struct {
	place  place
	counts int // how often the entries have been counted
	most   int // steps in 16 s
	least  int
}

var _ = ginkgo.Describe("calls to the store", func() {
	// Guards against reads for every single change of a fleet that starts, 32 for each entry before the first request.
	ginkgo.It("become rare while one change follows the other", func() {
		f := newFollowing(newConfigs())
		f.ctrl.Pause = 150 * time.Millisecond
		f.feed.rows = []bergamotstore.Row{row("config", "\x01")}
		f.pass(0)
		f.feed.changes = []bergamotstore.Change{bergamotstore.NewChange(row("other", ""), false)}
		for range 1000 {
			f.pass(10 * time.Millisecond)
		}
		gomega.Expect(len(f.feed.waits)).To(gomega.BeNumerically("<=", 19))
		f.feed.changes = nil
		f.pass(600 * time.Millisecond)
		before := len(f.feed.waits)
		f.pass(0)
		gomega.Expect(f.feed.waits).To(gomega.HaveLen(before + 1))
	})

	// Guards against neighbours that take the layers of a leaving runner because its replacement, which registers at the
	// same time, is seen only after the pause.
	ginkgo.It("follow soon after a runner began to leave", func() {
		f := newFollowing(&bergamotcluster.Roster{Decoder: decoder{}, Report: func(bergamotfleet.Instance, string, error) {}})
		f.ctrl.Pause = 150 * time.Millisecond
		f.feed.rows = []bergamotstore.Row{row("x", "ready")}
		f.pass(0)
		f.feed.changes = []bergamotstore.Change{bergamotstore.NewChange(row("x", "leaving"), false)}
		f.pass(0)
		gomega.Expect(f.ctrl.Next(f.state).Sub(f.state.Now())).To(gomega.BeNumerically("<=", 40*time.Millisecond))
	})

	// Guards against entries that all seek the lease because they counted the others before these had registered, and
	// against a lease that nobody seeks.
	bergamottest.Entries(map[string]seekCase{
		"seek the lease as a candidate":         {place: place{24, 4}, counts: 2, least: 14, most: 17},
		"seek it rarely as one of the others":   {place: place{24, 5}, counts: 2, least: 1, most: 2},
		"seek it now and then before the count": {place: place{1, 0}, counts: 1, least: 3, most: 5},
	}, func(c seekCase) {
		s, lease := newState(0), &steps{}
		presence := &bergamotcluster.Presence{Register: c.place, Report: func(int, error) {}}
		for range c.counts {
			run(s, presence.Reconcile(s))
			s.Wake(presence.Next(s))
		}
		lead := &bergamotcluster.Leadership{
			Lease: lease, Renew: time.Second, Seek: time.Second, Rest: 16 * time.Second,
			Report: func(bool, int64, error) {}, Leave: func() bool { return false },
		}
		for range 160 {
			run(s, lead.Reconcile(s))
			s.Wake(s.Now().Add(100 * time.Millisecond))
		}
		gomega.Expect(lease.n).To(gomega.BeNumerically(">=", c.least))
		gomega.Expect(lease.n).To(gomega.BeNumerically("<=", c.most))
	})

	// Guards against layers that nobody places for 5 s after an outage of the store, because the holder could not renew its
	// lease and the others rest (olilaud trouble-3 --seed 202).
	ginkgo.It("seek the lease at once when the store is back", func() {
		f, lease := newFollowing(newConfigs()), &steps{}
		lead := &bergamotcluster.Leadership{
			Lease: lease, Renew: time.Second, Seek: time.Minute, Rest: time.Hour,
			Report: func(bool, int64, error) {}, Leave: func() bool { return false },
		}
		f.feed.rows = []bergamotstore.Row{row("config", "\x01")}
		f.pass(0)
		run(f.state, lead.Reconcile(f.state))
		f.feed.err = errDown
		for range 4 {
			f.pass(time.Second)
		}
		f.feed.err = nil
		f.pass(time.Second)
		before := lease.n
		gomega.Expect(lead.Next(f.state)).To(gomega.Equal(f.state.Now()))
		run(f.state, lead.Reconcile(f.state))
		gomega.Expect(lease.n).To(gomega.Equal(before + 1))
		run(f.state, lead.Reconcile(f.state))
		gomega.Expect(lease.n).To(gomega.Equal(before + 1))
	})

	// Guards against an entry that does not know its place for a whole period after a registration that failed.
	ginkgo.It("register again soon after a failure", func() {
		s := newState(0)
		presence := &bergamotcluster.Presence{Register: down{}, Report: func(int, error) {}}
		run(s, presence.Reconcile(s))
		gomega.Expect(presence.Next(s).Sub(s.Now())).To(gomega.BeNumerically("<=", 2*time.Second))
	})
})

// down cannot register anyone.
type down struct{}

func (down) Register(context.Context, string, time.Duration) (entries, rank int, err error) {
	return 0, 0, errDown
}
