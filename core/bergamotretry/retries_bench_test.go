package bergamotretry_test

import (
	"fmt"
	"testing"
	"time"

	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotretry"
)

// BenchmarkTake measures the budget overhead of a request with one retry, spread over 3,100 targets.
func BenchmarkTake(b *testing.B) {
	clock := bergamotclock.NewVirtual(time.Unix(0, 0))
	budget := &bergamotretry.Budget{Clock: clock, Ratio: 0.1, Reserve: 3, Window: window, MaxKeys: 16384}
	keys := make([]string, 3100)
	for n := range keys {
		keys[n] = fmt.Sprintf("runner-%d", n)
	}
	b.ReportAllocs()
	for n := range b.N {
		budget.RecordFirst(keys[n%len(keys)])
		budget.Take(keys[n%len(keys)])
	}
}

// BenchmarkLoss reports the attempts per request after the loss of half the targets, with and without a budget.
func BenchmarkLoss(b *testing.B) {
	var bounded, unbounded float64
	for range b.N {
		bounded, unbounded = amplification(0.1, 3), amplification(1e9, 1e9)
	}
	b.ReportMetric(bounded, "budget-attempts/request")
	b.ReportMetric(unbounded, "baseline-attempts/request")
	b.ReportMetric(unbounded/bounded, "ratio")
}
