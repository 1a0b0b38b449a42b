package bergamotpath_test

import (
	"fmt"
	"testing"

	"bergamotspur/core/bergamotfleet"
)

// BenchmarkRoute shows how the choice of a path grows with the runners: copies of 10 runners each in 5 data centres.
func BenchmarkRoute(b *testing.B) {
	for _, n := range []int{40, 400, 3100} {
		var fleet []bergamotfleet.Instance
		for i := range n {
			copyOf := i / 10
			fleet = append(fleet, held(fmt.Sprint(i), fmt.Sprint("dc", copyOf%5), "l4", i%10*8, i%10*8+8))
		}
		w := want(900, fleet...)
		b.Run(fmt.Sprint("runners-", n), func(b *testing.B) {
			b.ReportAllocs()
			r, _ := newRouter()
			for b.Loop() {
				if p, ok := r.Route(w); ok {
					r.Finish(p, 900)
				}
			}
		})
	}
}
