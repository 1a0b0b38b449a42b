package bergamothealth_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamothealth"
	"bergamotspur/core/bergamottest"
)

func TestHealth(t *testing.T) { bergamottest.Run(t, "health") }

var start = time.Unix(1e9, 0)

func runners(n int, joined time.Time) (list []bergamotfleet.Instance) {
	for i := range n {
		list = append(list, bergamotfleet.NewInstance(bergamotfleet.Spec{
			Name: fmt.Sprint("r", i), Role: bergamotfleet.RoleRunner, Joined: joined,
			Holdings: []bergamotfleet.Holding{bergamotfleet.NewHolding("m", "1", 0, 4)},
		}))
	}
	return list
}

type ejectionCase struct {
	runners int
	failing int
	want    int // ejected instances
}

var _ = ginkgo.Describe("Tracker", func() {
	// Guards against a failure of all instances that ejects the whole fleet.
	bergamottest.Cases(map[string]ejectionCase{
		"ejects one outlier":                     {10, 1, 1},
		"keeps the minimum share when many fail": {10, 10, 4},
		"never ejects the only instance":         {1, 1, 0},
		"never ejects one of two instances":      {2, 2, 0},
	}, func(c ejectionCase) {
		t := bergamothealth.NewTracker()
		for n := range c.failing {
			for range 5 {
				t.Failed(fmt.Sprint("r", n), start)
			}
		}
		ejected := 0
		for _, w := range t.Weights(start.Add(time.Second), runners(c.runners, start.Add(-time.Hour))) {
			if w == 0 {
				ejected++
			}
		}
		gomega.Expect(ejected).To(gomega.Equal(c.want))
	})

	// Guards against an ejection that never ends and against repeated ejections that do not last longer.
	ginkgo.It("ends an ejection after a time that doubles with each further one", func() {
		t, list := bergamothealth.NewTracker(), runners(10, start.Add(-time.Hour))
		fail := func(now time.Time) {
			for range 3 {
				t.Failed("r0", now)
			}
		}
		fail(start)
		gomega.Expect(t.Weights(start.Add(time.Second), list)[0]).To(gomega.BeZero())
		end := start.Add(t.BaseEjectionTime)
		gomega.Expect(t.Weights(end, list)[0]).To(gomega.Equal(1.0))
		fail(end)
		gomega.Expect(t.Weights(end.Add(t.BaseEjectionTime), list)[0]).To(gomega.BeZero())
		gomega.Expect(t.Weights(end.Add(2*t.BaseEjectionTime), list)[0]).To(gomega.Equal(1.0))
	})

	// Guards against rare failures on a busy instance that accumulate to an ejection.
	ginkgo.It("does not eject an instance for rare failures", func() {
		t := bergamothealth.NewTracker()
		for n := range 20 {
			now := start.Add(time.Duration(n) * time.Minute)
			t.Failed("r0", now)
			gomega.Expect(t.Weights(now, runners(10, start.Add(-time.Hour)))[0]).To(gomega.Equal(1.0))
		}
	})

	// Guards against a new instance that receives its full share of work while its caches are cold.
	ginkgo.It("raises the weight of a new instance during the slow start", func() {
		t, list := bergamothealth.NewTracker(), runners(1, start)
		for age, want := range map[time.Duration]float64{0: 0.1, 5 * time.Second: 0.5, 10 * time.Second: 1} {
			gomega.Expect(t.Weights(start.Add(age), list)[0]).To(gomega.BeNumerically("~", want, 1e-9))
		}
	})
})
