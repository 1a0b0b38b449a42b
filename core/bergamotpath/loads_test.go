package bergamotpath_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotcapacity"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotpath"
)

var _ = ginkgo.Describe("the loads of runners", func() {
	// Guards against capacity that is counted at runners that get no requests, use by this entry that is counted twice or not at
	// all, and reports that are used when they are too old.
	ginkgo.It("are those of the last shared reports and of this entry since", func() {
		router, clock := newRouter()
		router.Exclusions = &bergamotpath.Exclusions{Clock: clock}
		failed := newRunner("failed", "a", "big", 0, 80).Spec()
		failed.Failed = true
		pausing := newRunner("pausing", "a", "big", 0, 80)
		q := newQuery(100, newRunner("x", "a", "big", 0, 80), bergamotfleet.NewInstance(failed), pausing)
		router.Exclusions.Pause(pausing.Process(), time.Minute)
		reader := &bergamotpath.LoadReader{Router: router}
		load := func() bergamotcapacity.Runner {
			loads := reader.Loads(engine, "llm", q.Fleet)
			gomega.Expect(loads).To(gomega.HaveLen(1))
			return loads[0]
		}
		gomega.Expect(load().Reported).To(gomega.BeFalse())
		first, ok := router.Route(q)
		gomega.Expect(ok).To(gomega.BeTrue())
		gomega.Expect(load().Used).To(gomega.Equal(8000.0), "without a report, what this entry uses")
		router.RecordShared("x", 50_000, 300*time.Millisecond)
		_, ok = router.Route(q)
		gomega.Expect(ok).To(gomega.BeTrue())
		l := load()
		gomega.Expect(l.Reported).To(gomega.BeTrue())
		gomega.Expect(l.Age).To(gomega.Equal(300 * time.Millisecond))
		gomega.Expect([]float64{l.Used, l.OwnUsed, l.Own}).To(gomega.Equal([]float64{50_000, 8000, 16_000}))
		router.Release(first, 100)
		gomega.Expect(load().Own).To(gomega.Equal(8000.0))
		clock.Advance(1200 * time.Millisecond)
		l = load()
		gomega.Expect(l.Reported).To(gomega.BeFalse())
		gomega.Expect(l.Used).To(gomega.Equal(8000.0))
	})
})

// BenchmarkLoads measures the reading of the loads of a large fleet.
func BenchmarkLoads(b *testing.B) {
	var fleet []bergamotfleet.Instance
	for i := range 3100 {
		fleet = append(fleet, newRunner(fmt.Sprint(i), fmt.Sprint("dc", i/10%5), "l4", i%10*8, i%10*8+8))
	}
	router, _ := newRouter()
	for _, i := range fleet {
		router.RecordShared(i.Name(), 1000, time.Millisecond)
	}
	q := newQuery(900, fleet...)
	reader := &bergamotpath.LoadReader{Router: router}
	b.ReportAllocs()
	for b.Loop() {
		reader.Loads(engine, "llm", q.Fleet)
	}
}
