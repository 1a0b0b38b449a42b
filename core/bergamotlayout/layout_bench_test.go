package bergamotlayout_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"bergamotspur/core/bergamotlayout"
)

// BenchmarkPlan shows how a plan grows with the runners of 5 data centres, settled and after the loss of one runner.
func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{40, 400, 3100} {
		var fleet []bergamotlayout.Runner
		for i := range n {
			kind := []string{"l4", "t4", "a100s", "l4", "t4"}[i/5%5]
			fleet = append(fleet, runner(fmt.Sprintf("r-%05d", i), fmt.Sprint("dc", i%5), kind, bergamotlayout.Span{}))
		}
		l := bergamotlayout.Layout{Model: model}
		settled := holding(fleet, l.Plan(fleet))
		lost := holding(settled, nil, "r-00007")
		b.Run(fmt.Sprint("settled-", n), func(b *testing.B) {
			for b.Loop() {
				l.Plan(settled)
			}
		})
		b.Run(fmt.Sprint("lost-", n), func(b *testing.B) {
			for b.Loop() {
				l.Plan(lost)
			}
		})
	}
}

// BenchmarkLosses prints how much room the layers have after losses and replacements, as a part of what a fresh plan of
// the same runners gives them, and how many layers are loaded for each loss.
func BenchmarkLosses(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 2))
	var share, loaded, n float64
	for b.Loop() {
		runners, _ := settle(centre("a", large))
		for range 10 {
			lost := runners[random.IntN(len(runners))]
			replacement := bergamotlayout.NewRunner(fmt.Sprint(lost.Name(), "r"), "a", lost.Memory(), kinds[kindOf(lost)][1], bergamotlayout.Span{})
			if random.IntN(10) < 7 {
				runners = append(runners, replacement)
			}
			after, plan := settle(runners, lost.Name())
			if len(uncovered(plan)) > 0 {
				break
			}
			loaded += float64(loads(holding(runners, nil, lost.Name()), plan))
			runners = after
			var empty []bergamotlayout.Runner
			for _, r := range runners {
				empty = append(empty, r.WithHeld(bergamotlayout.Span{}))
			}
			fresh, _ := settle(empty)
			share, n = share+leastRequests(runners)/leastRequests(fresh), n+1
		}
	}
	b.ReportMetric(share/n, "room/fresh")
	b.ReportMetric(loaded/n, "loads/loss")
}

// kindOf returns the accelerator of a runner by its memory.
func kindOf(r bergamotlayout.Runner) string {
	for kind, k := range kinds {
		if k[0] == r.Memory() {
			return kind
		}
	}
	return ""
}
