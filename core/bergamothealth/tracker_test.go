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

type floorCase struct {
	runners int
	failing int
	want    int // ejected
}

var _ = ginkgo.Describe("tracker", func() {
	// Guards against a failure common to all instances that ejects the whole fleet.
	bergamottest.Entries(map[string]floorCase{
		"ejects one outlier":                {10, 1, 1},
		"keeps the floor when many fail":    {10, 10, 4},
		"never ejects the only instance":    {1, 1, 0},
		"never ejects one of two instances": {2, 2, 0},
	}, func(c floorCase) {
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

	// Guards against an ejection that never ends and against one that is not extended for a repeated failure.
	ginkgo.It("returns an instance after a time that grows with repeated ejections", func() {
		t, list := bergamothealth.NewTracker(), runners(10, start.Add(-time.Hour))
		fail := func(now time.Time) {
			for range 3 {
				t.Failed("r0", now)
			}
		}
		fail(start)
		gomega.Expect(t.Weights(start.Add(time.Second), list)[0]).To(gomega.BeZero())
		back := start.Add(t.Base)
		gomega.Expect(t.Weights(back, list)[0]).To(gomega.Equal(1.0))
		fail(back)
		gomega.Expect(t.Weights(back.Add(t.Base), list)[0]).To(gomega.BeZero())
		gomega.Expect(t.Weights(back.Add(2*t.Base), list)[0]).To(gomega.Equal(1.0))
	})

	// Guards against rare failures on a busy instance that add up to an ejection.
	ginkgo.It("forgets failures that lie far apart", func() {
		t := bergamothealth.NewTracker()
		for n := range 20 {
			now := start.Add(time.Duration(n) * time.Minute)
			t.Failed("r0", now)
			gomega.Expect(t.Weights(now, runners(10, start.Add(-time.Hour)))[0]).To(gomega.Equal(1.0))
		}
	})

	// Guards against a new instance that gets a full load while its caches are cold.
	ginkgo.It("raises the weight of a new instance over the warm time", func() {
		t, list := bergamothealth.NewTracker(), runners(1, start)
		for age, want := range map[time.Duration]float64{0: 0.1, 5 * time.Second: 0.5, 10 * time.Second: 1} {
			gomega.Expect(t.Weights(start.Add(age), list)[0]).To(gomega.BeNumerically("~", want, 1e-9))
		}
	})
})
