package bergamotcontrol

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

var _ = ginkgo.Describe("reports for other controllers", func() {
	// Guards against orders of Placement that unload layers of a runner that has not reported yet.
	ginkgo.It("are complete only after each runner of a large fleet was probed", func() {
		m := newSim(3100, 1)
		m.run(10 * time.Second)
		gomega.Expect(m.state.hasAllReports()).To(gomega.BeFalse())
		m.run(140 * time.Second)
		gomega.Expect(m.state.hasAllReports()).To(gomega.BeTrue())
	})

	// Guards against an order whose effect is seen only when the sweep reaches the runner many minutes later.
	ginkgo.It("arrive within seconds from a runner outside the subset", func() {
		m := newSim(3100, 1)
		m.run(150 * time.Second)
		visibleRunners := nameSet(m.visibleRunners())
		outside := ""
		for _, name := range m.state.InstanceNames() {
			if !visibleRunners[name] {
				outside = name
			}
		}
		clear(m.prober.probes)
		m.state.RequestReport(outside)
		m.run(3 * time.Second)
		gomega.Expect(m.prober.probes[outside]).To(gomega.BeNumerically(">=", 1))
	})

	// Guards against a fleet for Placement without the runners outside the subset that traffic may use.
	ginkgo.It("cover all runners while traffic sees a subset", func() {
		m := newSim(3100, 1)
		m.run(150 * time.Second)
		gomega.Expect(len(m.state.Fleet().Instances())).To(gomega.Equal(3100))
		gomega.Expect(len(m.state.TrafficFleet().Instances())).To(gomega.BeNumerically("<", 700))
	})
})
