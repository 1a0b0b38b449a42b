package bergamotretry_test

import (
	"fmt"
	"testing"
	"time"

	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotretry"
)

// BenchmarkTake measures the cost of the budget for a request with one retry among 3,100 targets.
func BenchmarkTake(b *testing.B) {
	clock := bergamotclock.NewVirtual(time.Unix(0, 0))
	budget := &bergamotretry.Budget{Clock: clock, Ratio: 0.1, Reserve: 3, Window: window, Limit: 16384}
	keys := make([]string, 3100)
	for n := range keys {
		keys[n] = fmt.Sprintf("runner-%d", n)
	}
	b.ReportAllocs()
	for n := range b.N {
		budget.First(keys[n%len(keys)])
		budget.Take(keys[n%len(keys)])
	}
}

// BenchmarkLoss reports the attempts for each request after a loss of half the targets, with a budget and without.
func BenchmarkLoss(b *testing.B) {
	var bounded, unbounded float64
	for range b.N {
		bounded, unbounded = amplification(0.1, 3), amplification(1e9, 1e9)
	}
	b.ReportMetric(bounded, "budget-attempts/request")
	b.ReportMetric(unbounded, "baseline-attempts/request")
	b.ReportMetric(unbounded/bounded, "ratio")
}
