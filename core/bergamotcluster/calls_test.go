package bergamotcluster_test

import (
	"context"
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotcluster"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotlease"
	"bergamotspur/core/bergamotmirror"
	"bergamotspur/core/bergamotstore"
	"bergamotspur/core/bergamottest"
)

// countingLease is a lease that another entry holds; it counts the calls of AcquireOrRenew.
type countingLease struct {
	n      int
	freeIn time.Duration
}

func (l *countingLease) AcquireOrRenew(context.Context) (bergamotlease.Grant, error) {
	l.n++
	return bergamotlease.Grant{}, nil
}

func (l *countingLease) Release(context.Context) error { return nil }

func (l *countingLease) FreeIn() time.Duration { return l.freeIn }
func (l *countingLease) HolderAddress() string { return "" }

type leaseCase struct {
	hubs     int           // hubs before this entry in the order, -1 if this entry is no hub
	freeIn   time.Duration // rest of the holder's term at each attempt
	maxSteps int           // in 16 s
	minSteps int
}

var _ = ginkgo.Describe("calls to the store", func() {
	// Guards against one read for every single change while a fleet starts, 32 for each entry before the first request.
	ginkgo.It("become less frequent during a series of changes", func() {
		f := newWatcher(newConfigHandler())
		f.watcher.MinPause = 150 * time.Millisecond
		f.feed.rows = []bergamotstore.Row{row("config", "\x01")}
		f.advance(0)
		f.feed.changes = []bergamotstore.Change{bergamotstore.NewChange(row("other", ""), false)}
		for range 1000 {
			f.advance(10 * time.Millisecond)
		}
		gomega.Expect(len(f.feed.waits)).To(gomega.BeNumerically("<=", 19))
		f.feed.changes = nil
		f.advance(600 * time.Millisecond)
		before := len(f.feed.waits)
		f.advance(0)
		gomega.Expect(f.feed.waits).To(gomega.HaveLen(before + 1))
	})

	// Guards against neighbouring runners that take the layers of a leaving one because its replacement, which registers
	// at the same time, is seen only after the pause.
	ginkgo.It("follow soon after a runner starts leaving", func() {
		f := newWatcher(&bergamotcluster.Roster{Decoder: fakeDecoder{}, OnRunnerChange: func(bergamotfleet.Instance, string, error) {}})
		f.watcher.MinPause = 150 * time.Millisecond
		f.feed.rows = []bergamotstore.Row{row("x", "ready")}
		f.advance(0)
		f.feed.changes = []bergamotstore.Change{bergamotstore.NewChange(row("x", "leaving"), false)}
		f.advance(0)
		gomega.Expect(f.watcher.Next(f.state).Sub(f.state.Now())).To(gomega.BeNumerically("<=", 40*time.Millisecond))
	})

	// Guards against calls that grow with the number of entries because all of them try to acquire the lease, against none
	// of them trying, and against an attempt long after the term of a holder that was killed has ended.
	bergamottest.Cases(map[string]leaseCase{
		"try to acquire the lease when its term ends":                {hubs: 4, freeIn: 1300 * time.Millisecond, minSteps: 10, maxSteps: 13},
		"try to acquire the lease often if its term is unknown":      {hubs: 0, minSteps: 8, maxSteps: 9},
		"do not try to acquire the lease beyond the first hubs":      {hubs: 5, maxSteps: 0},
		"do not try to acquire the lease from an entry that follows": {hubs: -1, maxSteps: 0},
	}, func(c leaseCase) {
		s, lease := newState(0), &countingLease{freeIn: c.freeIn}
		table := newHubTable(s.Now)
		for n := range c.hubs {
			table.put(bergamotmirror.NewHub(bergamotmirror.NewPeer(fmt.Sprint("e", n), "x:1"), fmt.Sprint("c", n), 0, 1))
		}
		hubs := newHubs(table, "self", "d")
		if c.hubs < 0 {
			for n := range 2 {
				table.put(bergamotmirror.NewHub(bergamotmirror.NewPeer(fmt.Sprint("e", n), "x:1"), "d", n, 1))
			}
		}
		runTasks(s, hubs.Reconcile(s))
		leadership := &bergamotcluster.Leadership{
			Lease: lease, RenewInterval: time.Second, CandidateInterval: 2 * time.Second, Random: func() float64 { return 0.5 },
			OnChange: func(bool, int64, error) {}, Stopping: func() bool { return false },
		}
		for range 160 {
			runTasks(s, leadership.Reconcile(s))
			s.SetTime(s.Now().Add(100 * time.Millisecond))
		}
		gomega.Expect(lease.n).To(gomega.BeNumerically(">=", c.minSteps))
		gomega.Expect(lease.n).To(gomega.BeNumerically("<=", c.maxSteps))
	})

	// Guards against layers that no entry places for 5 s after an outage of the store, because the holder could not renew
	// the lease and the other entries only check it rarely (olilaud trouble-3 --seed 202).
	ginkgo.It("try to acquire the lease at once after an outage", func() {
		f, lease := newWatcher(newConfigHandler()), &countingLease{}
		leadership := &bergamotcluster.Leadership{
			Lease: lease, RenewInterval: time.Second, CandidateInterval: time.Minute,
			OnChange: func(bool, int64, error) {}, Stopping: func() bool { return false },
		}
		f.feed.rows = []bergamotstore.Row{row("config", "\x01")}
		hubs := newHubs(newHubTable(f.state.Now), "self", "a")
		runTasks(f.state, hubs.Reconcile(f.state))
		f.advance(0)
		runTasks(f.state, leadership.Reconcile(f.state))
		f.feed.err = errStoreDown
		for range 4 {
			f.advance(time.Second)
		}
		f.feed.err = nil
		f.advance(time.Second)
		before := lease.n
		gomega.Expect(leadership.Next(f.state)).To(gomega.Equal(f.state.Now()))
		runTasks(f.state, leadership.Reconcile(f.state))
		gomega.Expect(lease.n).To(gomega.Equal(before + 1))
		runTasks(f.state, leadership.Reconcile(f.state))
		gomega.Expect(lease.n).To(gomega.Equal(before + 1))
		// A restore from a copy may follow an outage that no read noticed.
		f.advance(time.Second)
		newConfigHandler().EraChanged(f.state, 1, 2)
		gomega.Expect(leadership.Next(f.state)).To(gomega.Equal(f.state.Now()))
		runTasks(f.state, leadership.Reconcile(f.state))
		gomega.Expect(lease.n).To(gomega.Equal(before + 2))
		f.advance(time.Second)
		newConfigHandler().EraChanged(f.state, 1, 2) // of another table
		runTasks(f.state, leadership.Reconcile(f.state))
		gomega.Expect(lease.n).To(gomega.Equal(before + 2))
	})
})
