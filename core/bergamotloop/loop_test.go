package bergamotloop_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotloop"
)

// counters is the state of a loop.
type counters struct {
	now   time.Time
	ended int // tasks of the crowd
	reads int
}

func (c *counters) SetTime(now time.Time) { c.now = now }
func (c *counters) Now() time.Time        { return c.now }

// crowd hands off tasks once, all of which wait until release is closed.
type crowd struct {
	size, started int
	release       chan struct{}
	running       atomic.Int64
	mu            sync.Mutex
	most          int64 // most tasks in flight
}

func (c *crowd) Name() string { return "crowd" }

func (c *crowd) Reconcile(*counters) (tasks []bergamotloop.Task[*counters]) {
	for ; c.started < c.size; c.started++ {
		tasks = append(tasks, bergamotloop.NewTask(fmt.Sprint("member ", c.started), func(context.Context) bergamotloop.Event[*counters] {
			c.mu.Lock()
			c.most = max(c.most, c.running.Add(1))
			c.mu.Unlock()
			<-c.release
			c.running.Add(-1)
			return bergamotloop.EventFunc[*counters](func(s *counters) { s.ended++ })
		}))
	}
	return tasks
}

// reader hands off one task, and the next one after the event of the last.
type reader struct{ reading bool }

func (r *reader) Name() string { return "reader" }

func (r *reader) Reconcile(*counters) []bergamotloop.Task[*counters] {
	if r.reading {
		return nil
	}
	r.reading = true
	return []bergamotloop.Task[*counters]{bergamotloop.NewTask("read", func(context.Context) bergamotloop.Event[*counters] {
		return bergamotloop.EventFunc[*counters](func(s *counters) { r.reading, s.reads = false, s.reads+1 })
	})}
}

var _ = ginkgo.Describe("the control loop", func() {
	// Guards against a controller that waits for ever for a task that was dropped because too many were in flight: an entry
	// never read the configuration again after cuts from 216 runners (review/3).
	ginkgo.It("runs each task, however many there are", func() {
		c := &crowd{size: 500, release: make(chan struct{})}
		var reads, ended atomic.Int64
		l := &bergamotloop.Loop[*counters]{
			Clock: bergamotclock.Real{}, Period: time.Millisecond, Controllers: []bergamotloop.Controller[*counters]{c, &reader{}},
			NewState: func() *counters { return &counters{} },
			Publish:  func(s *counters) { reads.Store(int64(s.reads)); ended.Store(int64(s.ended)) },
		}
		l.Init()
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- l.Run(ctx) }()
		gomega.Eventually(c.running.Load).Should(gomega.BeNumerically(">", 100))
		close(c.release)
		gomega.Eventually(ended.Load).WithTimeout(10 * time.Second).Should(gomega.Equal(int64(c.size)))
		gomega.Eventually(reads.Load).WithTimeout(10 * time.Second).Should(gomega.BeNumerically(">", 1))
		c.mu.Lock()
		defer c.mu.Unlock()
		gomega.Expect(c.most).To(gomega.BeNumerically("<=", 128))
		cancel()
		gomega.Eventually(done).Should(gomega.Receive(gomega.MatchError(context.Canceled)))
	})

	// Guards against an end of the loop that waits for tasks that have never begun.
	ginkgo.It("ends while tasks wait", func() {
		c := &crowd{size: 500, release: make(chan struct{})}
		l := &bergamotloop.Loop[*counters]{
			Clock: bergamotclock.Real{}, Period: time.Millisecond, Controllers: []bergamotloop.Controller[*counters]{c},
			NewState: func() *counters { return &counters{} }, Publish: func(*counters) {},
		}
		l.Init()
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- l.Run(ctx) }()
		gomega.Eventually(c.running.Load).Should(gomega.BeNumerically(">", 100))
		cancel()
		close(c.release)
		gomega.Eventually(done).Should(gomega.Receive(gomega.MatchError(context.Canceled)))
	})
})
