package bergamotlayout_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"bergamotspur/core/bergamotlayout"
)

// BenchmarkPlan measures how the time of a plan grows with the number of runners in 5 data centres, both when nothing has
// changed and after the loss of one runner.
func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{40, 400, 3100} {
		var fleet []bergamotlayout.Runner
		for i := range n {
			accelerator := []string{"l4", "t4", "a100s", "l4", "t4"}[i/5%5]
			fleet = append(fleet, newRunner(fmt.Sprintf("r-%05d", i), fmt.Sprint("dc", i%5), accelerator, bergamotlayout.Span{}))
		}
		p := bergamotlayout.Planner{Model: model}
		settled := applyPlan(fleet, p.Plan(fleet))
		lost := applyPlan(settled, nil, "r-00007")
		b.Run(fmt.Sprint("settled-", n), func(b *testing.B) {
			for b.Loop() {
				p.Plan(settled)
			}
		})
		b.Run(fmt.Sprint("lost-", n), func(b *testing.B) {
			for b.Loop() {
				p.Plan(lost)
			}
		})
	}
}

// BenchmarkLosses reports the capacity of the layers after losses and replacements, as a share of what a plan from scratch
// gives to the same runners, and how many layers are loaded for each loss.
func BenchmarkLosses(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 2))
	var share, loaded, n float64
	for b.Loop() {
		runners, _ := applyPlans(newCentre("a", largeCentre))
		for range 10 {
			lost := runners[random.IntN(len(runners))]
			replacement := bergamotlayout.NewRunner(fmt.Sprint(lost.Name(), "r"), "a", lost.Memory(), accelerators[acceleratorOf(lost)][1], bergamotlayout.Span{})
			if random.IntN(10) < 7 {
				runners = append(runners, replacement)
			}
			after, plan := applyPlans(runners, lost.Name())
			if len(missingLayers(plan)) > 0 {
				break
			}
			loaded += float64(countLoads(applyPlan(runners, nil, lost.Name()), plan))
			runners = after
			var empty []bergamotlayout.Runner
			for _, r := range runners {
				empty = append(empty, r.WithHeld(bergamotlayout.Span{}))
			}
			fresh, _ := applyPlans(empty)
			share, n = share+minCapacity(runners)/minCapacity(fresh), n+1
		}
	}
	b.ReportMetric(share/n, "room/fresh")
	b.ReportMetric(loaded/n, "loads/loss")
}

// acceleratorOf returns the accelerator of a runner, determined by its memory.
func acceleratorOf(r bergamotlayout.Runner) string {
	for kind, k := range accelerators {
		if k[0] == r.Memory() {
			return kind
		}
	}
	return ""
}
