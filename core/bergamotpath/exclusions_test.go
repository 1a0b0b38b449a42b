package bergamotpath_test

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotpath"
	"bergamotspur/core/bergamottest"
)

type exclusionCase struct {
	pauses  []time.Duration
	leaving bool
	wait    time.Duration
	left    time.Duration
}

var _ = ginkgo.Describe("exclusions", func() {
	// Guards against requests before the time that a runner asked for, and after it said that it leaves.
	bergamottest.Cases(map[string]exclusionCase{
		"last for the time of a pause":         {pauses: []time.Duration{time.Second}, wait: 400 * time.Millisecond, left: 600 * time.Millisecond},
		"end with it":                          {pauses: []time.Duration{time.Second}, wait: time.Second},
		"are not shortened by a second pause":  {pauses: []time.Duration{3 * time.Second, time.Second}, left: 3 * time.Second},
		"are extended by a second pause":       {pauses: []time.Duration{time.Second, 3 * time.Second}, left: 3 * time.Second},
		"outlast a pause when a runner leaves": {pauses: []time.Duration{time.Second}, leaving: true, wait: time.Minute, left: 59 * time.Minute},
	}, func(c exclusionCase) {
		clock := bergamotclock.NewVirtual(time.Unix(0, 0))
		e := &bergamotpath.Exclusions{Clock: clock}
		for _, d := range c.pauses {
			e.Pause("a@1", d)
		}
		if c.leaving {
			e.SetLeaving("a@1")
		}
		clock.Advance(c.wait)
		gomega.Expect(e.FreeIn("a@1")).To(gomega.Equal(c.left))
		gomega.Expect(e.IsExcluded("a@1")).To(gomega.Equal(c.left > 0))
		gomega.Expect(e.IsExcluded("a@2")).To(gomega.BeFalse()) // the next process of the runner
	})

	// Guards against memory that grows with the runners that have come and gone.
	ginkgo.It("are bounded, and the one that ends first gives way", func() {
		e := &bergamotpath.Exclusions{Clock: bergamotclock.NewVirtual(time.Unix(0, 0))}
		for n := range 8193 {
			e.Pause(fmt.Sprint(n), time.Minute+time.Duration(n))
		}
		gomega.Expect(e.IsExcluded("0")).To(gomega.BeFalse())
		gomega.Expect(e.IsExcluded("1")).To(gomega.BeTrue())
		gomega.Expect(e.IsExcluded("8192")).To(gomega.BeTrue())
	})
})
