package bergamotcontrol_test

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotcontrol"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamottest"
)

// controllerFunc is a controller made of a function.
type controllerFunc func(s *bergamotcontrol.State) []bergamotcontrol.Task

func (controllerFunc) Name() string                                                { return "test" }
func (f controllerFunc) Reconcile(s *bergamotcontrol.State) []bergamotcontrol.Task { return f(s) }

// startLoop starts the loop and returns a function that stops it and waits for its end.
func startLoop(l *bergamotcontrol.Loop) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- l.Run(ctx) }()
	return func() {
		cancel()
		gomega.Eventually(done).Should(gomega.Receive())
	}
}

func newLoop(controllers ...bergamotcontrol.Controller) *bergamotcontrol.Loop {
	l := &bergamotcontrol.Loop{Clock: bergamotclock.NewVirtual(time.Unix(0, 0)), Period: time.Hour, Controllers: controllers}
	l.Init()
	return l
}

var _ = ginkgo.Describe("Loop", func() {
	// Guards against an older bundle that a late read of the head puts in force.
	ginkgo.It("never puts an older bundle in force", func() {
		l := newLoop()
		defer startLoop(l)()
		for _, v := range []int64{1, 3, 2} {
			l.Post(bergamotcontrol.EventFunc(func(s *bergamotcontrol.State) { s.SetBundle(bergamottest.EmptyBundle(v)) }))
		}
		applied := make(chan struct{})
		l.Post(bergamotcontrol.EventFunc(func(*bergamotcontrol.State) { close(applied) }))
		gomega.Eventually(applied).Should(gomega.BeClosed())
		gomega.Eventually(func() int64 { return version(l) }).Should(gomega.Equal(int64(3)))
	})

	// Guards against a restart by the supervisor that loses the bundle in force, so that an older one replaces it.
	ginkgo.It("keeps the bundle in force across a restart", func() {
		l := newLoop()
		stop := startLoop(l)
		l.Post(bergamotcontrol.EventFunc(func(s *bergamotcontrol.State) { s.SetBundle(bergamottest.EmptyBundle(5)) }))
		gomega.Eventually(func() int64 { return version(l) }).Should(gomega.Equal(int64(5)))
		stop()
		defer startLoop(l)()
		l.Post(bergamotcontrol.EventFunc(func(s *bergamotcontrol.State) { s.SetBundle(bergamottest.EmptyBundle(4)) }))
		seen := make(chan int64, 1)
		l.Post(bergamotcontrol.EventFunc(func(s *bergamotcontrol.State) { seen <- s.Bundle().Version() }))
		gomega.Eventually(seen).Should(gomega.Receive(gomega.Equal(int64(5))))
	})

	// Guards against tasks that accumulate while the platform does not answer.
	ginkgo.It("runs one task of a name at a time", func() {
		var starts atomic.Int32
		release := make(chan struct{})
		l := newLoop(controllerFunc(func(*bergamotcontrol.State) []bergamotcontrol.Task {
			return []bergamotcontrol.Task{bergamotcontrol.NewTask("slow", func(ctx context.Context) bergamotcontrol.Event {
				starts.Add(1)
				select {
				case <-release:
				case <-ctx.Done():
				}
				return nil
			})}
		}))
		defer startLoop(l)()
		for range 10 {
			passed := make(chan struct{})
			l.Post(bergamotcontrol.EventFunc(func(*bergamotcontrol.State) { close(passed) }))
			gomega.Eventually(passed).Should(gomega.BeClosed())
		}
		gomega.Expect(starts.Load()).To(gomega.BeNumerically("<=", 1))
		close(release)
	})

	// Guards against a task on a hung connection that blocks all later tasks of its name, such as the renewal of the
	// lease.
	ginkgo.It("cancels a task without an answer after the timeout and starts it again", func() {
		var starts atomic.Int32
		l := newLoop(controllerFunc(func(*bergamotcontrol.State) []bergamotcontrol.Task {
			return []bergamotcontrol.Task{bergamotcontrol.NewTask("silent", func(ctx context.Context) bergamotcontrol.Event {
				starts.Add(1)
				<-ctx.Done()
				return nil
			})}
		}))
		l.TaskTimeout = time.Millisecond
		defer startLoop(l)()
		gomega.Eventually(starts.Load).Should(gomega.BeNumerically(">", 1))
	})

	// Guards against traffic that blocks while the control goroutine is busy.
	ginkgo.It("drops events instead of blocking when the inbox is full", func() {
		drops := 0
		l := newLoop()
		l.OnDrop = func() { drops++ }
		for l.Post(bergamotcontrol.EventFunc(func(*bergamotcontrol.State) {})) {
		}
		gomega.Expect(drops).To(gomega.Equal(1))
	})
})

func version(l *bergamotcontrol.Loop) int64 {
	b := l.View().Bundle()
	if b == nil {
		return 0
	}
	return b.Version()
}

// sequenceLister returns its lists in order and then repeats the last one.
type sequenceLister struct{ lists [][]bergamotfleet.Spec }

func (f *sequenceLister) List(context.Context, string) (bergamotcontrol.Listing, error) {
	list := f.lists[0]
	if len(f.lists) > 1 {
		f.lists = f.lists[1:]
	}
	return bergamotcontrol.NewListing("", 0, list), nil
}

var _ = ginkgo.Describe("InstanceList", func() {
	// Guards against new work for a leaving instance when a later read returns an older version of the list.
	ginkgo.It("keeps an instance leaving when an outdated list says that it is live", func() {
		clock := bergamotclock.NewVirtual(time.Unix(0, 0))
		live := bergamotfleet.Spec{Name: "a", Address: "10.0.0.1:1", Role: bergamotfleet.RoleRunner}
		leaving := live
		leaving.Leaving = true
		other := bergamotfleet.Spec{Name: "b", Address: "10.0.0.2:1", Role: bergamotfleet.RoleRunner}
		l := &bergamotcontrol.Loop{Clock: clock, Period: time.Second, Controllers: []bergamotcontrol.Controller{
			&bergamotcontrol.InstanceList{
				Source: &sequenceLister{lists: [][]bergamotfleet.Spec{{live}, {leaving}, {live, other}}},
				Period: time.Second, OnError: func(error) {},
			},
		}}
		l.Init()
		defer startLoop(l)()
		gomega.Eventually(func() bool {
			clock.Advance(time.Second)
			_, ok := l.View().Fleet().Instance("b")
			return ok
		}).Should(gomega.BeTrue())
		a, _ := l.View().Fleet().Instance("a")
		gomega.Expect(a.Usable()).To(gomega.BeFalse())
	})
})
