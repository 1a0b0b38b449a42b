package bergamotqueue_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotqueue"
	"bergamotspur/core/bergamottest"
)

func TestQueue(t *testing.T) { bergamottest.Run(t, "queue") }

var start = time.Unix(1e9, 0)

func job(workspace string, weight float64, class bergamotqueue.Class, priority int, arrived time.Time) *bergamotqueue.Job {
	return bergamotqueue.NewJob(bergamotqueue.Spec{
		Workspace: workspace, Weight: weight, Class: class, Priority: priority, Cost: 10,
		Arrived: arrived, LatestStart: arrived.Add(time.Hour),
	})
}

func newGate(maxWaiting int, capacity bergamotqueue.EntryCapacity) (*bergamotqueue.Gate, *bergamotclock.Virtual) {
	c := bergamotclock.NewVirtual(start)
	g := bergamotqueue.NewGate(c, maxWaiting, 10*time.Second)
	g.SetCapacity(capacity)
	return g, c
}

// submit queues a new job, which the gate must accept.
func submit(g *bergamotqueue.Gate, workspace string, class bergamotqueue.Class, arrived time.Time) *bergamotqueue.Job {
	j := job(workspace, 1, class, 0, arrived)
	gomega.ExpectWithOffset(1, g.Submit(j)).To(gomega.Succeed())
	return j
}

// singleSlot is a capacity of one slot with a millisecond per token.
var singleSlot = bergamotqueue.EntryCapacity{Slots: 1, TokenTime: time.Millisecond, Margin: 1}

// state returns "run", "wait" or the text of the error of a job.
func state(g *bergamotqueue.Gate, j *bergamotqueue.Job) string {
	select {
	case err := <-g.Granted(j):
		if err != nil {
			return err.Error()
		}
		return "run"
	default:
		return "wait"
	}
}

type shareCase struct {
	weights map[string]float64
	jobs    map[string]int
	served  int
	want    map[string]int
}

var _ = ginkgo.Describe("fair queue", func() {
	// Guards against a workspace that gets more than its share by sending more requests.
	bergamottest.Cases(map[string]shareCase{
		"serves equal weights equally":                        {map[string]float64{"a": 1, "b": 1}, map[string]int{"a": 100, "b": 20}, 20, map[string]int{"a": 10, "b": 10}},
		"serves by weight":                                    {map[string]float64{"a": 1, "b": 3}, map[string]int{"a": 100, "b": 100}, 40, map[string]int{"a": 10, "b": 30}},
		"gives unused shares to workspaces with waiting jobs": {map[string]float64{"a": 1, "b": 1}, map[string]int{"a": 100, "b": 2}, 20, map[string]int{"a": 18, "b": 2}},
	}, func(c shareCase) {
		f := bergamotqueue.NewFairQueue(time.Hour)
		for _, w := range []string{"a", "b"} {
			for range c.jobs[w] {
				f.Push(job(w, c.weights[w], bergamotqueue.ClassShort, 0, start))
			}
		}
		got := map[string]int{}
		for range c.served {
			got[f.Pop(bergamotqueue.ClassShort, start).Workspace()]++
		}
		gomega.Expect(got).To(gomega.Equal(c.want))
	})

	// Guards against priorities that have no effect and against jobs of low priority that never run.
	ginkgo.It("serves a high priority first until a job of low priority has aged", func() {
		f := bergamotqueue.NewFairQueue(10 * time.Second)
		f.Push(job("low", 1, bergamotqueue.ClassShort, 0, start))
		f.Push(job("high", 1, bergamotqueue.ClassShort, 1, start))
		gomega.Expect(f.Pop(bergamotqueue.ClassShort, start).Workspace()).To(gomega.Equal("high"))
		later := start.Add(25 * time.Second)
		f.Push(job("high", 1, bergamotqueue.ClassShort, 1, later))
		gomega.Expect(f.Pop(bergamotqueue.ClassShort, later).Workspace()).To(gomega.Equal("low"))
	})

	// Guards against state of past workspaces that accumulates.
	ginkgo.It("is empty after all jobs were removed in any order", func() {
		f := bergamotqueue.NewFairQueue(time.Hour)
		var jobs []*bergamotqueue.Job
		for n := range 5000 {
			j := job(fmt.Sprint("w", n%700), 1, bergamotqueue.Class(n%2), n%3, start)
			f.Push(j)
			jobs = append(jobs, j)
		}
		for n := range jobs {
			f.Remove(jobs[(n*2741)%len(jobs)])
		}
		gomega.Expect(f.Len()).To(gomega.BeZero())
		gomega.Expect(f.Cost()).To(gomega.BeZero())
		gomega.Expect(f.Pop(bergamotqueue.ClassShort, start)).To(gomega.BeNil())
	})
})

var _ = ginkgo.Describe("gate", func() {
	capacity := bergamotqueue.EntryCapacity{Slots: 4, TokenTime: 10 * time.Millisecond, ShortReserve: 0.5, Margin: 1}

	// Guards against long jobs that take all slots while short jobs wait.
	ginkgo.It("reserves slots for short jobs", func() {
		g, _ := newGate(100, capacity)
		var long []*bergamotqueue.Job
		for range 4 {
			long = append(long, submit(g, "a", bergamotqueue.ClassLong, start))
		}
		gomega.Expect([]string{state(g, long[1]), state(g, long[2])}).To(gomega.Equal([]string{"run", "wait"}))
		short := submit(g, "b", bergamotqueue.ClassShort, start)
		gomega.Expect(state(g, short)).To(gomega.Equal("run"))
	})

	// Guards against long jobs that never run while short jobs keep arriving.
	ginkgo.It("serves a long job that has aged before short ones", func() {
		g, c := newGate(100, singleSlot)
		first, long := submit(g, "a", bergamotqueue.ClassShort, start), submit(g, "a", bergamotqueue.ClassLong, start)
		c.Advance(11 * time.Second)
		short := submit(g, "b", bergamotqueue.ClassShort, c.Now())
		g.Leave(first, 10)
		gomega.Expect([]string{state(g, long), state(g, short)}).To(gomega.Equal([]string{"run", "wait"}))
	})

	// Guards against jobs that are accepted although their deadline will pass in the queue.
	ginkgo.It("refuses a job at once if it would start too late", func() {
		g, _ := newGate(100, bergamotqueue.EntryCapacity{Slots: 1, TokenTime: 100 * time.Millisecond, Margin: 1})
		for range 3 {
			gomega.Expect(g.Submit(job("a", 1, bergamotqueue.ClassShort, 0, start))).To(gomega.Succeed())
		}
		urgent := bergamotqueue.NewJob(bergamotqueue.Spec{
			Workspace: "a", Weight: 1, Cost: 10, Arrived: start, LatestStart: start.Add(time.Second),
		})
		gomega.Expect(g.Submit(urgent)).To(gomega.MatchError(bergamotqueue.ErrDeadline))
	})

	// Guards against starting a job after its latest start if the wait was underestimated.
	ginkgo.It("drops a waiting job whose latest start has passed", func() {
		g, c := newGate(100, singleSlot)
		first := submit(g, "a", bergamotqueue.ClassShort, start)
		urgent := bergamotqueue.NewJob(bergamotqueue.Spec{Workspace: "a", Weight: 1, Cost: 10, Arrived: start, LatestStart: start.Add(time.Second)})
		gomega.Expect(g.Submit(urgent)).To(gomega.Succeed())
		c.Advance(2 * time.Second)
		g.Leave(first, 10)
		gomega.Expect(state(g, urgent)).To(gomega.Equal(bergamotqueue.ErrDeadline.Error()))
		gomega.Expect(g.Running()).To(gomega.BeZero())
	})

	// Guards against one workspace that fills the bounded queue and thereby blocks the others.
	ginkgo.It("evicts a job of the largest workspace for a smaller one when the queue is full", func() {
		g, _ := newGate(10, capacity)
		var jobs []*bergamotqueue.Job
		for range 14 {
			jobs = append(jobs, submit(g, "large", bergamotqueue.ClassShort, start))
		}
		gomega.Expect(g.Submit(job("large", 1, bergamotqueue.ClassShort, 0, start))).To(gomega.MatchError(bergamotqueue.ErrFull))
		gomega.Expect(g.Submit(job("small", 1, bergamotqueue.ClassShort, 0, start))).To(gomega.Succeed())
		gomega.Expect(state(g, jobs[13])).To(gomega.Equal(bergamotqueue.ErrFull.Error()))
		gomega.Expect(g.Waiting()).To(gomega.Equal(10))
	})

	// Guards against a slot that is lost or granted twice if a caller disconnects while it is granted.
	ginkgo.It("removes the job of a disconnected caller from the queue", func() {
		g, _ := newGate(100, singleSlot)
		first := job("a", 1, bergamotqueue.ClassShort, 0, start)
		gomega.Expect(g.Enter(context.Background(), first)).To(gomega.Succeed())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- g.Enter(ctx, job("b", 1, bergamotqueue.ClassShort, 0, start)) }()
		gomega.Eventually(g.Waiting).Should(gomega.Equal(1))
		cancel()
		gomega.Expect(<-done).To(gomega.MatchError(context.Canceled))
		gomega.Expect(g.Waiting()).To(gomega.BeZero())
		g.Leave(first, 10)
		gomega.Expect(g.Enter(context.Background(), job("c", 1, bergamotqueue.ClassShort, 0, start))).To(gomega.Succeed())
	})
})

func BenchmarkGate(b *testing.B) {
	for _, workspaces := range []int{10, 1000, 11000} {
		b.Run(fmt.Sprint("workspaces=", workspaces), func(b *testing.B) {
			g, _ := newGate(20000, bergamotqueue.EntryCapacity{Slots: 1, TokenTime: time.Microsecond, Margin: 1})
			names := make([]string, workspaces)
			for n := range names {
				names[n] = fmt.Sprint("w", n)
			}
			running := job("x", 1, bergamotqueue.ClassShort, 0, start)
			_ = g.Submit(running)
			queue := make([]*bergamotqueue.Job, 0, workspaces)
			for n := range workspaces {
				j := job(names[n], 1, bergamotqueue.ClassShort, 0, start)
				_ = g.Submit(j)
				queue = append(queue, j)
			}
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				// One job finishes, one is granted a slot and one arrives, while one job of each workspace waits.
				g.Leave(running, 10)
				running = queue[n%workspaces]
				j := job(names[n%workspaces], 1, bergamotqueue.ClassShort, 0, start)
				_ = g.Submit(j)
				queue[n%workspaces] = j
				n++
			}
		})
	}
}

var _ = ginkgo.Describe("the fair queue", func() {
	// Guards against a Pop that removes another job than the one that Peek has returned, as it did for jobs of different
	// priorities that had become equal by waiting: the order depended on the iteration of a map.
	ginkgo.It("pops the job that it showed, also between equal ones", func() {
		for range 200 {
			q := bergamotqueue.NewFairQueue(time.Second)
			low := job("a", 1, bergamotqueue.ClassShort, 0, start)
			q.Push(low)
			q.Push(job("b", 1, bergamotqueue.ClassShort, 1, start.Add(time.Second)))
			next, _ := q.Peek(bergamotqueue.ClassShort, start.Add(time.Second))
			gomega.Expect(q.Pop(bergamotqueue.ClassShort, start.Add(time.Second))).To(gomega.BeIdenticalTo(next))
			gomega.Expect(next).NotTo(gomega.BeIdenticalTo(low))
		}
	})
})
