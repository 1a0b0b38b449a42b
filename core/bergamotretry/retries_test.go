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
	return &bergamotretry.Budget{Clock: clock, Ratio: ratio, Reserve: reserve, Window: window, Limit: 4}
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
	firsts int
	pause  time.Duration
	want   int
}

var _ = ginkgo.Describe("Budget", func() {
	// Guards against retries that exceed their share of the recent first attempts.
	bergamottest.Entries(map[string]budgetCase{
		"allows the reserve without first attempts":         {firsts: 0, want: 3},
		"allows a ratio of first attempts and the reserve":  {firsts: 100, want: 13},
		"counts first attempts until they leave the window": {firsts: 100, pause: window * 9 / 10, want: 13},
		"forgets first attempts of a window and a half ago": {firsts: 100, pause: window * 3 / 2, want: 3},
		"forgets first attempts of two windows ago":         {firsts: 100, pause: 2 * window, want: 3},
		"forgets first attempts of a much longer time ago":  {firsts: 100, pause: 9 * window, want: 3},
		"forgets first attempts of a whole window ago":      {firsts: 100, pause: window, want: 3},
	}, func(c budgetCase) {
		clock := bergamotclock.NewVirtual(time.Unix(0, 0))
		b := newBudget(clock, 0.1, 3)
		for range c.firsts {
			b.First("kitchen")
		}
		clock.Advance(c.pause)
		gomega.Expect(take(b, "kitchen", 1000)).To(gomega.Equal(c.want))
		gomega.Expect(take(b, "other", 1000)).To(gomega.Equal(3))
	})

	// Guards against retries at the end of one window and the beginning of the next that together exceed the budget in
	// a window between them, as the platform counts it.
	ginkgo.It("holds in each window, wherever it begins", func() {
		clock := bergamotclock.NewVirtual(time.Unix(9, 0))
		b := newBudget(clock, 0.1, 3)
		for range 100 {
			b.First("kitchen")
		}
		gomega.Expect(take(b, "kitchen", 1000)).To(gomega.Equal(13))
		clock.Advance(window / 2)
		gomega.Expect(take(b, "kitchen", 1000)).To(gomega.BeZero())
	})

	// Guards against retries of little urgency that use up the whole budget, and against a part that is given twice.
	ginkgo.It("keeps a part for urgent retries", func() {
		b := newBudget(bergamotclock.NewVirtual(time.Unix(0, 0)), 0.1, 10)
		for range 100 {
			b.First("kitchen")
		}
		n := 0
		for b.TakePart("kitchen", 0.7) {
			n++
		}
		gomega.Expect(n).To(gomega.Equal(14))
		gomega.Expect(take(b, "kitchen", 1000)).To(gomega.Equal(6))
		gomega.Expect(b.TakePart("kitchen", 0.7)).To(gomega.BeFalse())
	})

	// Guards against memory that grows with the number of keys.
	ginkgo.It("keeps a bounded number of keys and forgets the least recently used", func() {
		b := newBudget(bergamotclock.NewVirtual(time.Unix(0, 0)), 0, 1)
		gomega.Expect(b.Take("used")).To(gomega.BeTrue())
		for n := range 100 {
			b.First(fmt.Sprint(n))
			gomega.Expect(b.Take("used")).To(gomega.BeFalse())
		}
		gomega.Expect(b.Len()).To(gomega.Equal(4))
	})
})

type waitCase struct {
	n    int
	part float64
	want time.Duration
}

var _ = ginkgo.Describe("Backoff", func() {
	// Guards against waits outside the full range of the jitter, also for counts that overflow a shift.
	bergamottest.Entries(map[string]waitCase{
		"begins at zero":               {1, 0, 0},
		"waits up to the base":         {1, 0.5, 50 * time.Millisecond},
		"doubles with each retry":      {3, 0.5, 200 * time.Millisecond},
		"stops at the longest wait":    {9, 0.5, 500 * time.Millisecond},
		"stops at the longest wait, n": {1 << 40, 0.5, 500 * time.Millisecond},
	}, func(c waitCase) {
		b := &bergamotretry.Backoff{Base: 100 * time.Millisecond, Max: time.Second, Rand: func() float64 { return c.part }}
		gomega.Expect(b.Wait(c.n)).To(gomega.Equal(c.want))
	})
})

func newRetries(clock *bergamotclock.Virtual, ratio, reserve float64) *bergamotretry.Retries {
	return &bergamotretry.Retries{
		Clock: clock, Workspaces: newBudget(clock, ratio, reserve), Targets: newBudget(clock, ratio, reserve),
		Backoff: &bergamotretry.Backoff{Base: time.Second, Max: time.Minute, Rand: func() float64 { return 0.5 }},
	}
}

var _ = ginkgo.Describe("Retries", func() {
	// A context that has ended makes a wait that should not happen fail instead of lasting.
	gone, cancel := context.WithCancel(context.Background())
	cancel()

	// Guards against a wait that ends after the deadline, when the answer is of no use.
	ginkgo.It("refuse a retry that would begin at the deadline, and charge nothing", func() {
		clock := bergamotclock.NewVirtual(time.Unix(0, 0))
		r := newRetries(clock, 0, 1)
		deadline := clock.Now().Add(500 * time.Millisecond)
		gomega.Expect(r.Next(gone, "kitchen", 1, deadline, "t1")).To(gomega.MatchError(bergamotretry.ErrDeadline))
		gomega.Expect(clock.PendingTimers()).To(gomega.BeZero())
		gomega.Expect(r.Workspaces.Take("kitchen")).To(gomega.BeTrue())
	})

	// Guards against a refused retry that uses up the budget of others.
	ginkgo.It("charge no budget when one of them is used up", func() {
		r := newRetries(bergamotclock.NewVirtual(time.Unix(0, 0)), 0, 1)
		gomega.Expect(r.Targets.Take("t2")).To(gomega.BeTrue())
		gomega.Expect(r.Next(gone, "kitchen", 1, time.Time{}, "t1", "t2")).To(gomega.MatchError(bergamotretry.ErrBudget))
		gomega.Expect(r.Workspaces.Take("kitchen")).To(gomega.BeTrue())
		gomega.Expect(r.Targets.Take("t1")).To(gomega.BeTrue())
	})

	// Guards against a retry on behalf of a caller that has gone away during the wait.
	ginkgo.It("end the wait with the context", func() {
		r := newRetries(bergamotclock.NewVirtual(time.Unix(0, 0)), 0, 1)
		gomega.Expect(r.Next(gone, "kitchen", 1, time.Time{}, "t1")).To(gomega.MatchError(context.Canceled))
	})

	// Guards against a retry storm: after the loss of half the targets the attempts stay within the budget, and without
	// a budget the same callers send far more.
	ginkgo.It("keep the load after a loss of half the targets within the budget", func() {
		bounded, unbounded := amplification(0.1, 3), amplification(1e9, 1e9)
		ginkgo.GinkgoWriter.Printf("attempts for each request: %.2f with the budget, %.2f without\n", bounded, unbounded)
		gomega.Expect(bounded).To(gomega.BeNumerically("<", 1.12))
		gomega.Expect(unbounded).To(gomega.BeNumerically(">", 1.8))
	})
})

// amplification returns the attempts for each request in virtual time: 1,000 requests/s for 60 s to 40 targets, of which
// half are lost. A target serves 40 attempts/s, so that the survivors are overloaded and fail what exceeds that.
func amplification(ratio, reserve float64) float64 {
	const targets, rate, capacity, seconds, most = 40, 1000, 40, 60, 5
	clock := bergamotclock.NewVirtual(time.Unix(0, 0))
	r := newRetries(clock, ratio, reserve)
	r.Targets.Limit = targets
	r.Backoff.Rand = func() float64 { return 0 } // the worst case: all retries in the same second
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
			r.First("kitchen", fmt.Sprint(target))
			for n := 1; !ok && n < most; n++ {
				if r.Next(context.Background(), "kitchen", n, time.Time{}, fmt.Sprint(random.IntN(targets))) != nil {
					break
				}
				_, ok = attempt()
			}
		}
		clock.Advance(time.Second)
	}
	return float64(sent) / (rate * seconds)
}
