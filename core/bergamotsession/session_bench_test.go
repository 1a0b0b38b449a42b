package bergamotsession_test

import (
	"context"
	"runtime"
	"testing"
	"time"

	"bergamotspur/core/bergamotsession"
)

// BenchmarkToken measures what one token costs the session core: time, allocations and bytes.
func BenchmarkToken(b *testing.B) {
	const length = 500
	w := newWorld(1)
	s := w.session(newInstant())
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	tokens := 0
	for b.Loop() {
		out := &collector{got: make([]int, 0, length)}
		if err := s.Handle(context.Background(), newExchange(w, "s", length, out)); err != nil {
			b.Fatal(err)
		}
		tokens += len(out.got)
	}
	s.Wait()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(tokens), "ns/token")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/float64(tokens), "allocs/token")
	b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/float64(tokens), "B/token")
}

// BenchmarkRecovery counts the commands and tokens between the last token before the death of the last stage
// and the first one after it.
func BenchmarkRecovery(b *testing.B) {
	steps, runs := 0, 0
	for b.Loop() {
		e, w := newSim(1, faults{}), newWorld(3)
		e.killAt = 20
		s, out := w.session(e), &collector{}
		before, after := 0, 0
		out.each = func(position int) {
			switch position {
			case 19:
				before = e.ticks
			case 20:
				after = e.ticks
			}
		}
		if err := s.Handle(context.Background(), newExchange(w, "s", simTokens, out)); err != nil {
			b.Fatal(err)
		}
		s.Wait()
		steps += after - before
		runs++
	}
	b.ReportMetric(float64(steps)/float64(runs), "steps/recovery")
}

// BenchmarkEstimate prints the estimated times to import and to recompute the KV cache of 12 layers of width
// 4,096 (8,192 bytes) for 1,000 tokens over links of two rates.
func BenchmarkEstimate(b *testing.B) {
	for name, rate := range map[string]float64{"1Gbit": 125e6, "10Gbit": 1.25e9} {
		b.Run(name, func(b *testing.B) {
			e := bergamotsession.NewEstimate(rate, 5*time.Millisecond, 40*time.Microsecond)
			var pull, recompute time.Duration
			for b.Loop() {
				pull, recompute = e.Pull(e.Bytes(12, 1000, 8192)), e.Recompute(12, 1000)
			}
			b.ReportMetric(pull.Seconds()*1000, "import-ms")
			b.ReportMetric(recompute.Seconds()*1000, "recompute-ms")
		})
	}
}
