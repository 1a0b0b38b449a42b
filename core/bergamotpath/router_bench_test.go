package bergamotpath_test

import (
	"fmt"
	"testing"

	"bergamotspur/core/bergamotfleet"
)

// BenchmarkRoute measures how the time to select a path grows with the number of runners. Every 10 runners hold all layers
// together, and these groups are spread over 5 data centres.
func BenchmarkRoute(b *testing.B) {
	for _, n := range []int{40, 400, 3100} {
		var fleet []bergamotfleet.Instance
		for i := range n {
			group := i / 10
			fleet = append(fleet, newRunner(fmt.Sprint(i), fmt.Sprint("dc", group%5), "l4", i%10*8, i%10*8+8))
		}
		q := newQuery(900, fleet...)
		b.Run(fmt.Sprint("runners-", n), func(b *testing.B) {
			b.ReportAllocs()
			r, _ := newRouter()
			for b.Loop() {
				if p, ok := r.Route(q); ok {
					r.Release(p, 900)
				}
			}
		})
	}
}
