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

// countingLease is a lease that another entry holds; it counts the calls of AcquireOrRenew.
type countingLease struct{ n int }

func (l *countingLease) AcquireOrRenew(context.Context) (bergamotlease.Grant, error) {
	l.n++
	return bergamotlease.Grant{}, nil
}

func (l *countingLease) Release(context.Context) error { return nil }

// fixedRegistrar returns a fixed number of entries and a fixed rank.
type fixedRegistrar struct{ entries, rank int }

func (r fixedRegistrar) Register(context.Context, string, time.Duration) (int, int, error) {
	return r.entries, r.rank, nil
}

type leaseCase struct {
	registrar     fixedRegistrar
	registrations int // registrations before the first step
	maxSteps      int // in 16 s
	minSteps      int
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

	// Guards against all entries trying to acquire the lease because each counted the others before they registered, and
	// against none of them trying.
	bergamottest.Cases(map[string]leaseCase{
		"try to acquire the lease often as a candidate":                {registrar: fixedRegistrar{24, 4}, registrations: 2, minSteps: 14, maxSteps: 17},
		"try to acquire the lease rarely as a non-candidate":           {registrar: fixedRegistrar{24, 5}, registrations: 2, minSteps: 1, maxSteps: 2},
		"try to acquire the lease sometimes while the rank is unknown": {registrar: fixedRegistrar{1, 0}, registrations: 1, minSteps: 3, maxSteps: 5},
	}, func(c leaseCase) {
		s, lease := newState(0), &countingLease{}
		presence := &bergamotcluster.Presence{Registrar: c.registrar, OnCount: func(int, error) {}}
		for range c.registrations {
			runTasks(s, presence.Reconcile(s))
			s.SetTime(presence.Next(s))
		}
		leadership := &bergamotcluster.Leadership{
			Lease: lease, RenewInterval: time.Second, CandidateInterval: time.Second, IdleInterval: 16 * time.Second,
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
			Lease: lease, RenewInterval: time.Second, CandidateInterval: time.Minute, IdleInterval: time.Hour,
			OnChange: func(bool, int64, error) {}, Stopping: func() bool { return false },
		}
		f.feed.rows = []bergamotstore.Row{row("config", "\x01")}
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
	})

	// Guards against an entry that does not know its rank for a whole registration interval after a failed registration.
	ginkgo.It("register again soon after a failure", func() {
		s := newState(0)
		presence := &bergamotcluster.Presence{Registrar: failingRegistrar{}, OnCount: func(int, error) {}}
		runTasks(s, presence.Reconcile(s))
		gomega.Expect(presence.Next(s).Sub(s.Now())).To(gomega.BeNumerically("<=", 2*time.Second))
	})
})

// failingRegistrar returns an error for each registration.
type failingRegistrar struct{}

func (failingRegistrar) Register(context.Context, string, time.Duration) (entries, rank int, err error) {
	return 0, 0, errStoreDown
}
