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
		Arrived: arrived, Latest: arrived.Add(time.Hour),
	})
}

func newGate(most int, p bergamotqueue.Pace) (*bergamotqueue.Gate, *bergamotclock.Virtual) {
	c := bergamotclock.NewVirtual(start)
	g := bergamotqueue.NewGate(c, most, 10*time.Second)
	g.SetPace(p)
	return g, c
}

// ask lets a new job that the gate must take ask for a slot.
func ask(g *bergamotqueue.Gate, workspace string, class bergamotqueue.Class, arrived time.Time) *bergamotqueue.Job {
	j := job(workspace, 1, class, 0, arrived)
	gomega.ExpectWithOffset(1, g.Ask(j)).To(gomega.Succeed())
	return j
}

// slow is one slot that takes a millisecond for a token.
var slow = bergamotqueue.Pace{Slots: 1, Token: time.Millisecond, Margin: 1}

// state returns "run", "wait" or the error of a job.
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
	// Guards against a workspace that gets more than its share by asking more often.
	bergamottest.Cases(map[string]shareCase{
		"serves equal weights equally":      {map[string]float64{"a": 1, "b": 1}, map[string]int{"a": 100, "b": 20}, 20, map[string]int{"a": 10, "b": 10}},
		"serves by weight":                  {map[string]float64{"a": 1, "b": 3}, map[string]int{"a": 100, "b": 100}, 40, map[string]int{"a": 10, "b": 30}},
		"gives what is left to those there": {map[string]float64{"a": 1, "b": 1}, map[string]int{"a": 100, "b": 2}, 20, map[string]int{"a": 18, "b": 2}},
	}, func(c shareCase) {
		f := bergamotqueue.NewFair(time.Hour)
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

	// Guards against priorities without effect and against a low priority that never runs.
	ginkgo.It("serves a high priority first until a low one has aged", func() {
		f := bergamotqueue.NewFair(10 * time.Second)
		f.Push(job("low", 1, bergamotqueue.ClassShort, 0, start))
		f.Push(job("high", 1, bergamotqueue.ClassShort, 1, start))
		gomega.Expect(f.Pop(bergamotqueue.ClassShort, start).Workspace()).To(gomega.Equal("high"))
		later := start.Add(25 * time.Second)
		f.Push(job("high", 1, bergamotqueue.ClassShort, 1, later))
		gomega.Expect(f.Pop(bergamotqueue.ClassShort, later).Workspace()).To(gomega.Equal("low"))
	})

	// Guards against accounts of past workspaces that pile up.
	ginkgo.It("stays empty after all jobs left in any order", func() {
		f := bergamotqueue.NewFair(time.Hour)
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
	pace := bergamotqueue.Pace{Slots: 4, Token: 10 * time.Millisecond, Room: 0.5, Margin: 1}

	// Guards against long work that takes all slots while short work waits.
	ginkgo.It("keeps room for short jobs", func() {
		g, _ := newGate(100, pace)
		var long []*bergamotqueue.Job
		for range 4 {
			long = append(long, ask(g, "a", bergamotqueue.ClassLong, start))
		}
		gomega.Expect([]string{state(g, long[1]), state(g, long[2])}).To(gomega.Equal([]string{"run", "wait"}))
		short := ask(g, "b", bergamotqueue.ClassShort, start)
		gomega.Expect(state(g, short)).To(gomega.Equal("run"))
	})

	// Guards against long work that never runs while short work keeps coming.
	ginkgo.It("serves a long job that has aged before short ones", func() {
		g, c := newGate(100, slow)
		first, long := ask(g, "a", bergamotqueue.ClassShort, start), ask(g, "a", bergamotqueue.ClassLong, start)
		c.Advance(11 * time.Second)
		short := ask(g, "b", bergamotqueue.ClassShort, c.Now())
		g.Leave(first, 10)
		gomega.Expect([]string{state(g, long), state(g, short)}).To(gomega.Equal([]string{"run", "wait"}))
	})

	// Guards against requests that are admitted although their deadline passes in the queue.
	ginkgo.It("rejects at once what would start too late", func() {
		g, _ := newGate(100, bergamotqueue.Pace{Slots: 1, Token: 100 * time.Millisecond, Margin: 1})
		for range 3 {
			gomega.Expect(g.Ask(job("a", 1, bergamotqueue.ClassShort, 0, start))).To(gomega.Succeed())
		}
		hasty := bergamotqueue.NewJob(bergamotqueue.Spec{
			Workspace: "a", Weight: 1, Cost: 10, Arrived: start, Latest: start.Add(time.Second),
		})
		gomega.Expect(g.Ask(hasty)).To(gomega.MatchError(bergamotqueue.ErrDeadline))
	})

	// Guards against a start after the latest time when the estimate of the wait was too short.
	ginkgo.It("drops a waiting job whose latest time has passed", func() {
		g, c := newGate(100, slow)
		first := ask(g, "a", bergamotqueue.ClassShort, start)
		hasty := bergamotqueue.NewJob(bergamotqueue.Spec{Workspace: "a", Weight: 1, Cost: 10, Arrived: start, Latest: start.Add(time.Second)})
		gomega.Expect(g.Ask(hasty)).To(gomega.Succeed())
		c.Advance(2 * time.Second)
		g.Leave(first, 10)
		gomega.Expect(state(g, hasty)).To(gomega.Equal(bergamotqueue.ErrDeadline.Error()))
		gomega.Expect(g.Running()).To(gomega.BeZero())
	})

	// Guards against one workspace that fills the bounded queue and so shuts out the others.
	ginkgo.It("makes room for a small workspace when a large one fills the queue", func() {
		g, _ := newGate(10, pace)
		var jobs []*bergamotqueue.Job
		for range 14 {
			jobs = append(jobs, ask(g, "large", bergamotqueue.ClassShort, start))
		}
		gomega.Expect(g.Ask(job("large", 1, bergamotqueue.ClassShort, 0, start))).To(gomega.MatchError(bergamotqueue.ErrFull))
		gomega.Expect(g.Ask(job("small", 1, bergamotqueue.ClassShort, 0, start))).To(gomega.Succeed())
		gomega.Expect(state(g, jobs[13])).To(gomega.Equal(bergamotqueue.ErrFull.Error()))
		gomega.Expect(g.Waiting()).To(gomega.Equal(10))
	})

	// Guards against a slot that is lost, or given twice, when a caller disconnects while it is granted.
	ginkgo.It("takes a disconnected caller out of the queue", func() {
		g, _ := newGate(100, slow)
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
			g, _ := newGate(20000, bergamotqueue.Pace{Slots: 1, Token: time.Microsecond, Margin: 1})
			names := make([]string, workspaces)
			for n := range names {
				names[n] = fmt.Sprint("w", n)
			}
			running := job("x", 1, bergamotqueue.ClassShort, 0, start)
			_ = g.Ask(running)
			queue := make([]*bergamotqueue.Job, 0, workspaces)
			for n := range workspaces {
				j := job(names[n], 1, bergamotqueue.ClassShort, 0, start)
				_ = g.Ask(j)
				queue = append(queue, j)
			}
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				// One job leaves, one is granted and one arrives, with one waiting job for each workspace.
				g.Leave(running, 10)
				running = queue[n%workspaces]
				j := job(names[n%workspaces], 1, bergamotqueue.ClassShort, 0, start)
				_ = g.Ask(j)
				queue[n%workspaces] = j
				n++
			}
		})
	}
}
