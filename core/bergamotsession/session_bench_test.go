package bergamotsession_test

import (
	"context"
	"runtime"
	"testing"
	"time"

	"bergamotspur/core/bergamotsession"
)

// BenchmarkToken measures the time, allocations and bytes that the session needs for one token.
func BenchmarkToken(b *testing.B) {
	const length = 500
	f := newFixture(1)
	s := f.session(newInstantEngine())
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	tokens := 0
	for b.Loop() {
		out := &collector{received: make([]int, 0, length)}
		if err := s.Handle(context.Background(), newExchange(f, "s", length, out)); err != nil {
			b.Fatal(err)
		}
		tokens += len(out.received)
	}
	s.Wait()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(tokens), "ns/token")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/float64(tokens), "allocs/token")
	b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/float64(tokens), "B/token")
}

// BenchmarkRecovery counts the commands and tokens between the last token before the last stage dies and the first token
// after it.
func BenchmarkRecovery(b *testing.B) {
	total, runs := 0, 0
	for b.Loop() {
		e, f := newSimEngine(1, faults{}), newFixture(3)
		e.killAt = 20
		s, out := f.session(e), &collector{}
		before, after := 0, 0
		out.onToken = func(position int) {
			switch position {
			case 19:
				before = e.operations
			case 20:
				after = e.operations
			}
		}
		if err := s.Handle(context.Background(), newExchange(f, "s", simTokens, out)); err != nil {
			b.Fatal(err)
		}
		s.Wait()
		total += after - before
		runs++
	}
	b.ReportMetric(float64(total)/float64(runs), "steps/recovery")
}

// BenchmarkEstimate reports the estimated times to import and to recompute the KV cache of 12 layers of width 4,096
// (8,192 bytes) for 1,000 tokens over links of two rates.
func BenchmarkEstimate(b *testing.B) {
	for name, rate := range map[string]float64{"1Gbit": 125e6, "10Gbit": 1.25e9} {
		b.Run(name, func(b *testing.B) {
			e := bergamotsession.NewEstimate(rate, 5*time.Millisecond, 40*time.Microsecond)
			var importTime, recomputeTime time.Duration
			for b.Loop() {
				importTime, recomputeTime = e.ImportTime(e.CacheBytes(12, 1000, 8192)), e.RecomputeTime(12, 1000)
			}
			b.ReportMetric(importTime.Seconds()*1000, "import-ms")
			b.ReportMetric(recomputeTime.Seconds()*1000, "recompute-ms")
		})
	}
}
