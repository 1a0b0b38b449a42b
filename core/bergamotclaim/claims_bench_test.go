package bergamotclaim_test

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotclaim"
	"bergamotspur/core/bergamotmemory"
)

// BenchmarkCall measures the overhead of a claimed call without its dispatch: CPU time and requests to the table.
func BenchmarkCall(b *testing.B) {
	gomega.RegisterTestingT(b)
	for name, repeats := range map[string]int{"first": 0, "with a repeat": 1} {
		b.Run(name, func(b *testing.B) {
			w := newFixture()
			reply := answer("B1")
			b.ReportAllocs()
			b.ResetTimer()
			for n := range b.N {
				call := bergamotclaim.NewCall("kitchen", newRequest("r", fmt.Sprint(n), "slot"), w.clock.Now().Add(callTimeout))
				claim, _, err := w.a.Begin(ctx, call, nil)
				if err != nil {
					b.Fatal(err)
				}
				claim.Done(ctx, reply)
				for range repeats {
					if _, _, err = w.b.Begin(ctx, call, nil); err != nil {
						b.Fatal(err)
					}
				}
			}
			b.ReportMetric(float64(w.store.Writes())/float64(b.N), "writes/op")
			b.ReportMetric(float64(w.store.Calls(bergamotmemory.Swap)-w.store.Writes())/float64(b.N), "conflicts/op")
		})
	}
}
