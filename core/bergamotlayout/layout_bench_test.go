package bergamotlayout_test

import (
	"fmt"
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
