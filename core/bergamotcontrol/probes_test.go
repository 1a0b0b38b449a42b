package bergamotcontrol

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamottest"
)

type rateCase struct {
	runners      int
	down         bool // all runners of one data centre stop answering
	maxPerSecond int  // maximum number of probes in any second of the first two minutes
	maxPerMinute int  // maximum number of probes in a later minute
	maxSelected  int  // maximum number of runners that traffic may use
}

var _ = ginkgo.Describe("Probes", func() {
	// Guards against control traffic that grows with the fleet: at about 300 B per probe, 48 probes/s for two minutes
	// and 21 probes/s after that stay under 20 KB/s.
	bergamottest.Cases(map[string]rateCase{
		"probe each of 40 runners once a second":         {runners: 40, maxPerSecond: 40, maxPerMinute: 40 * 60, maxSelected: 40},
		"probe a fleet of 400 at a bounded rate":         {runners: 400, maxPerSecond: 56, maxPerMinute: 21 * 60, maxSelected: 400},
		"probe a fleet of 3,100 at a bounded rate":       {runners: 3100, maxPerSecond: 56, maxPerMinute: 21 * 60, maxSelected: 700},
		"probe a fleet of 12,000 at a bounded rate":      {runners: 12000, maxPerSecond: 56, maxPerMinute: 24 * 60, maxSelected: 800},
		"stay bounded when a data centre of 3,100 fails": {runners: 3100, down: true, maxPerSecond: 56, maxPerMinute: 40 * 60, maxSelected: 700},
	}, func(c rateCase) {
		m := newSim(c.runners, 1)
		for range 120 {
			gomega.Expect(m.run(time.Second)).To(gomega.BeNumerically("<=", c.maxPerSecond))
		}
		m.run(15 * time.Minute)
		if c.down {
			for n := range c.runners {
				if s := runnerSpec(n); s.DataCentre == "centre-1" {
					m.prober.down[s.Name] = true
				}
			}
			m.run(2 * time.Minute)
		}
		sent := m.run(time.Minute)
		ginkgo.GinkgoWriter.Printf("%d runners: %.1f probes/s, %d selected\n", c.runners, float64(sent)/60, len(m.visibleRunners()))
		gomega.Expect(sent).To(gomega.BeNumerically("<=", c.maxPerMinute))
		gomega.Expect(len(m.visibleRunners())).To(gomega.BeNumerically("<=", c.maxSelected))
	})

	// Guards against runners that are never probed: a small fleet is probed in each period, a large one within a sweep.
	bergamottest.Cases(map[string]struct {
		runners int
		within  time.Duration
	}{
		"reach all of 40 runners within 1 s":                   {40, 1100 * time.Millisecond},
		"reach all of 48 runners within 1 s":                   {48, 1100 * time.Millisecond},
		"reach all of 3,100 runners within 150 s of the start": {3100, 150 * time.Second},
	}, func(c struct {
		runners int
		within  time.Duration
	},
	) {
		m := newSim(c.runners, 1)
		m.run(c.within)
		gomega.Expect(len(m.prober.probes)).To(gomega.Equal(c.runners))
		clear(m.prober.probes)
		m.run(max(c.within, 20*time.Minute))
		gomega.Expect(len(m.prober.probes)).To(gomega.Equal(c.runners))
	})

	// Guards against a layer range without an alternative runner, also when a region is cut off from the others: an
	// entry keeps a candidate in its own data centre.
	ginkgo.It("keep several candidates of each layer in several data centres", func() {
		for entry := range 4 {
			m := newSim(3100, entry)
			m.run(150 * time.Second)
			count, centres, own := m.candidates(m.probes.Centre)
			gomega.Expect(count).To(gomega.BeNumerically(">=", minCandidates))
			gomega.Expect(centres).To(gomega.BeNumerically(">=", minCentres))
			gomega.Expect(own).To(gomega.BeTrue())
		}
	})

	// Guards against a subset that shrinks when selected runners fail, and one that is replaced entirely when one fails.
	ginkgo.It("replace a selected runner in the next pass after it was reported as failed", func() {
		m := newSim(3100, 1)
		m.run(150 * time.Second)
		before := nameSet(m.visibleRunners())
		lost := m.visibleRunners()[7].Spec()
		lost.Failed = true
		m.state.PutInstance(bergamotfleet.NewInstance(lost))
		after := nameSet(m.visibleRunners())
		gomega.Expect(after[lost.Name]).To(gomega.BeFalse())
		kept := 0
		for name := range before {
			if after[name] {
				kept++
			}
		}
		gomega.Expect(kept).To(gomega.Equal(len(before) - 1))
		count, _, _ := m.candidates(m.probes.Centre)
		gomega.Expect(count).To(gomega.BeNumerically(">=", minCandidates))
	})

	// Guards against a selected runner that stays in use for a whole round of probes after its first failed probe.
	ginkgo.It("mark a selected runner as failed within seconds of the first failed probe", func() {
		m := newSim(3100, 1)
		m.run(150 * time.Second)
		lost := m.visibleRunners()[7].Name()
		m.prober.down[lost] = true
		clear(m.prober.probes)
		for m.prober.probes[lost] == 0 {
			m.run(100 * time.Millisecond)
		}
		m.run(4 * time.Second)
		i, _ := m.state.Instance(lost)
		gomega.Expect(i.Failed()).To(gomega.BeTrue())
		gomega.Expect(nameSet(m.visibleRunners())[lost]).To(gomega.BeFalse())
		m.prober.down[lost] = false
		m.run(time.Duration(failedInterval+1) * time.Second)
		gomega.Expect(nameSet(m.visibleRunners())[lost]).To(gomega.BeTrue(), "it answers again")
	})

	// Guards against a failed probe that resets the failure which the entry itself observed.
	ginkgo.It("keep an instance failed when a probe fails too", func() {
		m := newSim(40, 1)
		m.run(time.Second)
		i := m.visibleRunners()[3].Spec()
		i.Failed = true
		m.state.PutInstance(bergamotfleet.NewInstance(i))
		m.probes.applyResult(m.state, i.Name, m.state.now, Report{}, errDown)
		now, _ := m.state.Instance(i.Name)
		gomega.Expect(now.Failed()).To(gomega.BeTrue())
	})

	// Guards against an uneven load of the runners that hold the same layers.
	ginkgo.It("spread 840 entries evenly over the runners", func() {
		s := simulateSpread(840, 3100, 8)
		ginkgo.GinkgoWriter.Printf("load per runner: mean %.0f, max/mean %.2f, %d runners unused\n", s.mean, s.maxToMean, s.unused)
		gomega.Expect(s.maxToMean).To(gomega.BeNumerically("<", 1.5))
		gomega.Expect(s.unused).To(gomega.BeZero())
	})
})

func nameSet(list []bergamotfleet.Instance) map[string]bool {
	out := map[string]bool{}
	for _, i := range list {
		out[i.Name()] = true
	}
	return out
}

// loadSpread is the result of simulateSpread.
type loadSpread struct {
	mean      float64 // mean load of a runner, if each entry sends one unit to each layer range
	maxToMean float64 // ratio of the highest load to the mean
	unused    int     // runners that no entry selected
}

// simulateSpread divides, for each entry, one unit of load for each layer range of the first models evenly among the
// selected runners that hold it. The ranges do not depend on each other, so a few models are representative.
func simulateSpread(entries, runners, models int) (e loadSpread) {
	var list []bergamotfleet.Instance
	ranges := map[string]int{}
	for n := range runners {
		if n%testModels < models {
			spec := runnerSpec(n)
			spec.Holdings = holdingsOf(spec.Name)
			list = append(list, bergamotfleet.NewInstance(spec))
			ranges[spec.Name] = n % (testModels * testStages)
		}
	}
	load := map[string]float64{}
	for entry := range entries {
		c := newProbes(nil, entry)
		s := newSubset(c.Entry, c.Centre)
		for _, i := range list {
			s.put(i)
		}
		s.selectRunners(runners)
		var selections [testModels * testStages]float64
		for name := range s.selections {
			selections[ranges[name]]++
		}
		for name := range s.selections {
			load[name] += 1 / selections[ranges[name]]
		}
	}
	for _, units := range load {
		e.mean += units / float64(len(list))
		e.maxToMean = max(e.maxToMean, units)
	}
	e.maxToMean /= e.mean
	e.unused = len(list) - len(load)
	return e
}
