package bergamotbundle_test

import (
	"fmt"
	"runtime"
	"testing"

	"bergamotspur/core/bergamotbundle"
)

// BenchmarkParse measures the time to parse a bundle, per workspace, and the memory that the bundle holds.
func BenchmarkParse(b *testing.B) {
	for _, workspaces := range []int{10, 1000, 11000} {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			text := bigBundle(workspaces)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			held, err := bergamotbundle.Parse("bench", text)
			if err != nil {
				b.Fatal(err)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := bergamotbundle.Parse("bench", text); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(workspaces), "ns/workspace")
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "held-B")
			b.ReportMetric(float64(len(text)), "text-B")
			runtime.KeepAlive(held)
		})
	}
}
