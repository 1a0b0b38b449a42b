package bergamotlayout_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotlayout"
	"bergamotspur/core/bergamottest"
)

type limitedCase struct {
	first  bool    // the runners that begin with the first layer have the limit, not those that hold the last one
	rate   float64 // requests a second
	joins  bool    // other runners take the first layer too
	rounds int     // plans until nothing changes, at most
}

var _ = ginkgo.Describe("a plan for runners that limit their requests", func() {
	// The load is that of LIMIT: the first runners of all paths of a data centre take few requests, while the memory behind them stays unused.
	// Guards against a plan that leaves it so, moves layers for a limit that does not matter, or goes on moving them.
	bergamottest.Cases(map[string]limitedCase{
		"lets others begin paths where the first ones take few": {first: true, rate: 1, joins: true, rounds: 6},
		"changes nothing for a limit that is never reached":     {first: true, rate: 1000},
		"changes nothing for runners that follow on paths":      {rate: 1},
	}, func(c limitedCase) {
		p := bergamotlayout.Planner{Model: model}
		runners := newCentre("a", map[string]int{"h100": 1, "a100s": 1, "l4": 9, "t4": 11})
		for range 3 {
			runners = applyPlan(runners, p.Plan(runners))
		}
		begins := func(list []bergamotlayout.Runner) (n int) {
			for _, r := range list {
				if r.Held().From() == 0 && r.Held().Len() > 0 {
					n++
				}
			}
			return n
		}
		before, limited := begins(runners), map[string]bool{}
		for i, r := range runners {
			if c.first == (r.Held().From() == 0) && (c.first || r.Held().To() == 80) {
				runners[i], limited[r.Name()] = r.WithRate(c.rate), true
			}
		}
		gomega.Expect(limited).NotTo(gomega.BeEmpty())
		rounds := 0
		for ; rounds <= c.rounds; rounds++ {
			plan := p.Plan(runners)
			changed := false
			for _, r := range runners {
				s, ok := plan[r.Name()]
				changed = changed || ok && s != r.Held()
			}
			if !changed {
				break
			}
			runners = applyPlan(runners, plan)
		}
		gomega.Expect(rounds).To(gomega.BeNumerically("<=", c.rounds))
		gomega.Expect(begins(runners) > before).To(gomega.Equal(c.joins))
	})
})
