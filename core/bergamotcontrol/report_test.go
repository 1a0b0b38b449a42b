package bergamotcontrol

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

var _ = ginkgo.Describe("reports that other controllers need", func() {
	// Guards against orders of placement that unload a runner of which the entry does not know yet what it holds.
	ginkgo.It("are complete only after each runner of a large fleet was asked", func() {
		m := newSim(3100, 1)
		m.run(10 * time.Second)
		gomega.Expect(m.state.allReported()).To(gomega.BeFalse())
		m.run(140 * time.Second)
		gomega.Expect(m.state.allReported()).To(gomega.BeTrue())
	})

	// Guards against an order whose effect is seen only when the sweep comes to the runner after many minutes.
	ginkgo.It("come within seconds from a runner outside the subset", func() {
		m := newSim(3100, 1)
		m.run(150 * time.Second)
		visible := names(m.visible())
		outside := ""
		for _, name := range m.state.Instances() {
			if !visible[name] {
				outside = name
			}
		}
		clear(m.source.probes)
		m.state.Ask(outside)
		m.run(3 * time.Second)
		gomega.Expect(m.source.probes[outside]).To(gomega.BeNumerically(">=", 1))
	})

	// Guards against a fleet for placement that lacks the runners outside the subset of traffic.
	ginkgo.It("cover all runners while traffic sees a subset", func() {
		m := newSim(3100, 1)
		m.run(150 * time.Second)
		gomega.Expect(len(m.state.Fleet().Instances())).To(gomega.Equal(3100))
		gomega.Expect(len(m.state.Traffic().Instances())).To(gomega.BeNumerically("<", 700))
	})
})
