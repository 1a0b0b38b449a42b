package bergamotcontrol

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamottest"
)

type rateCase struct {
	runners int
	down    bool // all runners of one data centre stop answering
	start   int  // most probes in any second of the first two minutes
	steady  int  // most probes in a later minute
	members int  // most runners that traffic may use
}

var _ = ginkgo.Describe("the probes", func() {
	// Guards against a cost of control that grows with the fleet: at about 300 B a probe, 48 a second for two
	// minutes and 21 a second from then on stay under 20 KB/s.
	bergamottest.Entries(map[string]rateCase{
		"probe each of 40 runners once a second":        {runners: 40, start: 40, steady: 40 * 60, members: 40},
		"probe a fleet of 400 at a bounded rate":        {runners: 400, start: 56, steady: 21 * 60, members: 400},
		"probe a fleet of 3,100 at a bounded rate":      {runners: 3100, start: 56, steady: 21 * 60, members: 700},
		"probe a fleet of 12,000 at a bounded rate":     {runners: 12000, start: 56, steady: 24 * 60, members: 800},
		"stay bounded when a data centre of 3,100 dies": {runners: 3100, down: true, start: 56, steady: 40 * 60, members: 700},
	}, func(c rateCase) {
		m := newSim(c.runners, 1)
		for range 120 {
			gomega.Expect(m.run(time.Second)).To(gomega.BeNumerically("<=", c.start))
		}
		m.run(15 * time.Minute)
		if c.down {
			for n := range c.runners {
				if s := runnerSpec(n); s.DataCentre == "centre-1" {
					m.source.down[s.Name] = true
				}
			}
			m.run(2 * time.Minute)
		}
		sent := m.run(time.Minute)
		ginkgo.GinkgoWriter.Printf("%d runners: %.1f probes/s, %d members\n", c.runners, float64(sent)/60, len(m.visible()))
		gomega.Expect(sent).To(gomega.BeNumerically("<=", c.steady))
		gomega.Expect(len(m.visible())).To(gomega.BeNumerically("<=", c.members))
	})

	// Guards against runners that are never asked: every one of a small fleet in each period, every one of a
	// large fleet within the sweep.
	bergamottest.Entries(map[string]struct {
		runners int
		within  time.Duration
	}{
		"ask all of 40 runners within 1 s":               {40, 1100 * time.Millisecond},
		"ask all of 48 runners within 1 s":               {48, 1100 * time.Millisecond},
		"ask all of 3,100 runners within 150 s at first": {3100, 150 * time.Second},
	}, func(c struct {
		runners int
		within  time.Duration
	},
	) {
		m := newSim(c.runners, 1)
		m.run(c.within)
		gomega.Expect(len(m.source.probes)).To(gomega.Equal(c.runners))
		clear(m.source.probes)
		m.run(max(c.within, 20*time.Minute))
		gomega.Expect(len(m.source.probes)).To(gomega.Equal(c.runners))
	})

	// Guards against a layer range without an alternative, in the fleet of the target size and where a region is
	// cut off: an entry keeps a candidate in its own data centre.
	ginkgo.It("keep several candidates of each layer in several data centres", func() {
		for entry := range 4 {
			m := newSim(3100, entry)
			m.run(150 * time.Second)
			count, centres, own := m.candidates(m.probes.Centre)
			gomega.Expect(count).To(gomega.BeNumerically(">=", minHolders))
			gomega.Expect(centres).To(gomega.BeNumerically(">=", minCentres))
			gomega.Expect(own).To(gomega.BeTrue())
		}
	})

	// Guards against a subset that shrinks as its members fail, and one that is replaced as a whole for one loss.
	ginkgo.It("replace a member that others report as failed in the next pass", func() {
		m := newSim(3100, 1)
		m.run(150 * time.Second)
		before := names(m.visible())
		lost := m.visible()[7].Spec()
		lost.Failed = true
		m.state.PutInstance(bergamotfleet.NewInstance(lost))
		after := names(m.visible())
		gomega.Expect(after[lost.Name]).To(gomega.BeFalse())
		kept := 0
		for name := range before {
			if after[name] {
				kept++
			}
		}
		gomega.Expect(kept).To(gomega.Equal(len(before) - 1))
		count, _, _ := m.candidates(m.probes.Centre)
		gomega.Expect(count).To(gomega.BeNumerically(">=", minHolders))
	})

	// Guards against a member that stays in use for a whole round of probes after the first one failed.
	ginkgo.It("count a member as failed within seconds of the first failed probe", func() {
		m := newSim(3100, 1)
		m.run(150 * time.Second)
		lost := m.visible()[7].Name()
		m.source.down[lost] = true
		clear(m.source.probes)
		for m.source.probes[lost] == 0 {
			m.run(100 * time.Millisecond)
		}
		m.run(4 * time.Second)
		i, _ := m.state.Instance(lost)
		gomega.Expect(i.Failed()).To(gomega.BeTrue())
		gomega.Expect(names(m.visible())[lost]).To(gomega.BeFalse())
		m.source.down[lost] = false
		m.run(time.Duration(failedInterval+1) * time.Second)
		gomega.Expect(names(m.visible())[lost]).To(gomega.BeTrue(), "it answers again")
	})

	// Guards against a failure that the entry saw by itself and that a single failed probe takes back.
	ginkgo.It("keep an instance failed when a probe fails too", func() {
		m := newSim(40, 1)
		m.run(time.Second)
		i := m.visible()[3].Spec()
		i.Failed = true
		m.state.PutInstance(bergamotfleet.NewInstance(i))
		m.probes.apply(m.state, i.Name, m.state.now, Report{}, errDown)
		now, _ := m.state.Instance(i.Name)
		gomega.Expect(now.Failed()).To(gomega.BeTrue())
	})

	// Guards against an uneven load of the runners that hold the same layers, with the entries of the target.
	ginkgo.It("spread 840 entries evenly over the runners", func() {
		s := spreadOf(840, 3100, 8)
		ginkgo.GinkgoWriter.Printf("entries for a runner: mean %.0f, max/mean %.2f, none for %d runners\n", s.mean, s.ratio, s.unused)
		gomega.Expect(s.ratio).To(gomega.BeNumerically("<", 1.5))
		gomega.Expect(s.unused).To(gomega.BeZero())
	})
})

func names(list []bergamotfleet.Instance) map[string]bool {
	out := map[string]bool{}
	for _, i := range list {
		out[i.Name()] = true
	}
	return out
}

type evenness struct {
	mean   float64 // load of a runner, when each entry sends one unit to each range
	ratio  float64 // highest load over the mean
	unused int
}

// spreadOf lets each entry divide one unit of load for each layer range of the first models evenly over its
// members that hold it. The ranges do not depend on each other, so that few models tell enough.
func spreadOf(entries, runners, models int) (e evenness) {
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
		u := newSubset(c.Entry, c.Centre)
		for _, i := range list {
			u.put(i)
		}
		u.choose(runners)
		var members [testModels * testStages]float64
		for name := range u.members {
			members[ranges[name]]++
		}
		for name := range u.members {
			load[name] += 1 / members[ranges[name]]
		}
	}
	for _, x := range load {
		e.mean += x / float64(len(list))
		e.ratio = max(e.ratio, x)
	}
	e.ratio /= e.mean
	e.unused = len(list) - len(load)
	return e
}
