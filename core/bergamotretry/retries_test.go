package bergamotretry_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotretry"
	"bergamotspur/core/bergamottest"
)

const window = 10 * time.Second

func newBudget(clock *bergamotclock.Virtual, ratio, reserve float64) *bergamotretry.Budget {
	return &bergamotretry.Budget{Clock: clock, Ratio: ratio, Reserve: reserve, Window: window, MaxKeys: 4}
}

func take(b *bergamotretry.Budget, key string, n int) (taken int) {
	for range n {
		if b.Take(key) {
			taken++
		}
	}
	return taken
}

type budgetCase struct {
	firstAttempts int
	pause         time.Duration
	want          int
}

var _ = ginkgo.Describe("Budget", func() {
	// Guards against retries that exceed the budget derived from recent first attempts.
	bergamottest.Cases(map[string]budgetCase{
		"allows the reserve without first attempts":         {firstAttempts: 0, want: 3},
		"allows a share of first attempts plus the reserve": {firstAttempts: 100, want: 13},
		"counts first attempts until they leave the window": {firstAttempts: 100, pause: window * 9 / 10, want: 13},
		"forgets first attempts after a window and a half":  {firstAttempts: 100, pause: window * 3 / 2, want: 3},
		"forgets first attempts after two windows":          {firstAttempts: 100, pause: 2 * window, want: 3},
		"forgets first attempts after many windows":         {firstAttempts: 100, pause: 9 * window, want: 3},
		"forgets first attempts after a whole window":       {firstAttempts: 100, pause: window, want: 3},
	}, func(c budgetCase) {
		clock := bergamotclock.NewVirtual(time.Unix(0, 0))
		b := newBudget(clock, 0.1, 3)
		for range c.firstAttempts {
			b.RecordFirst("kitchen")
		}
		clock.Advance(c.pause)
		gomega.Expect(take(b, "kitchen", 1000)).To(gomega.Equal(c.want))
		gomega.Expect(take(b, "other", 1000)).To(gomega.Equal(3))
	})

	// Guards against retries at the end of one window and the start of the next that together exceed the budget of a
	// window that spans both. The platform checks the budget for every such window.
	ginkgo.It("holds in every window, wherever it starts", func() {
		clock := bergamotclock.NewVirtual(time.Unix(9, 0))
		b := newBudget(clock, 0.1, 3)
		for range 100 {
			b.RecordFirst("kitchen")
		}
		gomega.Expect(take(b, "kitchen", 1000)).To(gomega.Equal(13))
		clock.Advance(window / 2)
		gomega.Expect(take(b, "kitchen", 1000)).To(gomega.BeZero())
	})

	// Guards against less urgent retries that use up the whole budget, and against a share that is granted twice.
	ginkgo.It("keeps a share for urgent retries", func() {
		b := newBudget(bergamotclock.NewVirtual(time.Unix(0, 0)), 0.1, 10)
		for range 100 {
			b.RecordFirst("kitchen")
		}
		n := 0
		for b.TakeWithin("kitchen", 0.7) {
			n++
		}
		gomega.Expect(n).To(gomega.Equal(14))
		gomega.Expect(take(b, "kitchen", 1000)).To(gomega.Equal(6))
		gomega.Expect(b.TakeWithin("kitchen", 0.7)).To(gomega.BeFalse())
	})

	// Guards against memory use that grows with the number of keys.
	ginkgo.It("keeps a bounded number of keys and evicts the least recently used", func() {
		b := newBudget(bergamotclock.NewVirtual(time.Unix(0, 0)), 0, 1)
		gomega.Expect(b.Take("used")).To(gomega.BeTrue())
		for n := range 100 {
			b.RecordFirst(fmt.Sprint(n))
			gomega.Expect(b.Take("used")).To(gomega.BeFalse())
		}
		gomega.Expect(b.Len()).To(gomega.Equal(4))
	})
})

type delayCase struct {
	n    int
	draw float64
	want time.Duration
}

var _ = ginkgo.Describe("Backoff", func() {
	// Guards against delays outside the jitter range, also for retry counts that would overflow the shift.
	bergamottest.Cases(map[string]delayCase{
		"can be zero":             {1, 0, 0},
		"is at most the base":     {1, 0.5, 50 * time.Millisecond},
		"doubles with each retry": {3, 0.5, 200 * time.Millisecond},
		"is at most the maximum":  {9, 0.5, 500 * time.Millisecond},
		"is at most the maximum for a count that overflows": {1 << 40, 0.5, 500 * time.Millisecond},
	}, func(c delayCase) {
		b := &bergamotretry.Backoff{Base: 100 * time.Millisecond, Max: time.Second, Rand: func() float64 { return c.draw }}
		gomega.Expect(b.Delay(c.n)).To(gomega.Equal(c.want))
	})
})

func newRetries(clock *bergamotclock.Virtual, ratio, reserve float64) *bergamotretry.Retries {
	return &bergamotretry.Retries{
		Clock: clock, Workspaces: newBudget(clock, ratio, reserve), Targets: newBudget(clock, ratio, reserve),
		Backoff: &bergamotretry.Backoff{Base: time.Second, Max: time.Minute, Rand: func() float64 { return 0.5 }},
	}
}

var _ = ginkgo.Describe("Retries", func() {
	// With a canceled context, an unexpected wait fails instead of blocking the test.
	canceled, cancel := context.WithCancel(context.Background())
	cancel()

	// Guards against waiting until after the deadline, when the answer is of no use.
	ginkgo.It("reject a retry that would start at the deadline and charge nothing", func() {
		clock := bergamotclock.NewVirtual(time.Unix(0, 0))
		r := newRetries(clock, 0, 1)
		deadline := clock.Now().Add(500 * time.Millisecond)
		gomega.Expect(r.Wait(canceled, "kitchen", 1, deadline, "t1")).To(gomega.MatchError(bergamotretry.ErrDeadline))
		gomega.Expect(clock.PendingTimers()).To(gomega.BeZero())
		gomega.Expect(r.Workspaces.Take("kitchen")).To(gomega.BeTrue())
	})

	// Guards against a rejected retry that still charges some of its budgets.
	ginkgo.It("charge no budget if one of them is exhausted", func() {
		r := newRetries(bergamotclock.NewVirtual(time.Unix(0, 0)), 0, 1)
		gomega.Expect(r.Targets.Take("t2")).To(gomega.BeTrue())
		gomega.Expect(r.Wait(canceled, "kitchen", 1, time.Time{}, "t1", "t2")).To(gomega.MatchError(bergamotretry.ErrBudget))
		gomega.Expect(r.Workspaces.Take("kitchen")).To(gomega.BeTrue())
		gomega.Expect(r.Targets.Take("t1")).To(gomega.BeTrue())
	})

	// Guards against a retry for a caller that went away during the wait.
	ginkgo.It("stop waiting when the context ends", func() {
		r := newRetries(bergamotclock.NewVirtual(time.Unix(0, 0)), 0, 1)
		gomega.Expect(r.Wait(canceled, "kitchen", 1, time.Time{}, "t1")).To(gomega.MatchError(context.Canceled))
	})

	// Guards against a retry storm: after the loss of half the targets, attempts must stay within the budget. Without a
	// budget the same callers send far more.
	ginkgo.It("keep the load after a loss of half the targets within the budget", func() {
		bounded, unbounded := amplification(0.1, 3), amplification(1e9, 1e9)
		ginkgo.GinkgoWriter.Printf("attempts for each request: %.2f with the budget, %.2f without\n", bounded, unbounded)
		gomega.Expect(bounded).To(gomega.BeNumerically("<", 1.12))
		gomega.Expect(unbounded).To(gomega.BeNumerically(">", 1.8))
	})
})

// amplification returns the attempts per request in a simulation of 1,000 requests/s for 60 s to 40 targets, of which half
// are lost. A target serves 40 attempts/s, so the remaining targets are overloaded and fail the excess.
func amplification(ratio, reserve float64) float64 {
	const targets, rate, capacity, seconds, maxAttempts = 40, 1000, 40, 60, 5
	clock := bergamotclock.NewVirtual(time.Unix(0, 0))
	r := newRetries(clock, ratio, reserve)
	r.Targets.MaxKeys = targets
	r.Backoff.Rand = func() float64 { return 0 } // worst case: all retries happen in the same second
	random := rand.New(rand.NewPCG(1, 2))
	sent := 0
	for range seconds {
		load := map[int]int{}
		attempt := func() (target int, ok bool) {
			target = random.IntN(targets)
			sent++
			load[target]++
			return target, target >= targets/2 && load[target] <= capacity
		}
		for range rate {
			target, ok := attempt()
			r.RecordFirst("kitchen", fmt.Sprint(target))
			for n := 1; !ok && n < maxAttempts; n++ {
				if r.Wait(context.Background(), "kitchen", n, time.Time{}, fmt.Sprint(random.IntN(targets))) != nil {
					break
				}
				_, ok = attempt()
			}
		}
		clock.Advance(time.Second)
	}
	return float64(sent) / (rate * seconds)
}
