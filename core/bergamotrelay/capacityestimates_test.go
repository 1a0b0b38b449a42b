package bergamotrelay

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamottest"
)

type wakeCase struct {
	priorities []int // of the routes of the service
	wakes      bool
}

var _ = ginkgo.Describe("the estimates of capacity", func() {
	// Guards against a goroutine that wakes at each report and each change of the control state although nothing uses its
	// estimates.
	bergamottest.Cases(map[string]wakeCase{
		"are made while priorities differ":          {priorities: []int{0, 1}, wakes: true},
		"are not made while all priorities are one": {priorities: []int{1, 1}},
	}, func(c wakeCase) {
		g := newAdmissionRig(4, priorityRoute("a", c.priorities[0], time.Second), priorityRoute("b", c.priorities[1], time.Second))
		g.estimates.Notify()
		gomega.Expect(g.estimates.changed).To(gomega.Receive()) // the configuration has not been seen yet
		g.estimates.Step()
		g.estimates.Notify()
		if c.wakes {
			gomega.Expect(g.estimates.changed).To(gomega.Receive())
			return
		}
		gomega.Expect(g.estimates.changed).NotTo(gomega.Receive())
	})
})
