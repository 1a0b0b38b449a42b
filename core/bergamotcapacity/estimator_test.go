package bergamotcapacity_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotcapacity"
	"bergamotspur/core/bergamottest"
)

type estimateCase struct {
	runners []bergamotcapacity.Runner
	free    float64 // tokens
	centres []string
	unknown bool
}

var _ = ginkgo.Describe("the free capacity while runners leave", func() {
	holder := func(centre string, from, to int, tokens float64) bergamotcapacity.Runner {
		return bergamotcapacity.Runner{Centre: centre, From: from, To: to, Capacity: tokens * float64(to-from), Reported: true}
	}
	full := func(centre string) bergamotcapacity.Runner {
		r := holder(centre, 0, 8, 100)
		r.Used = r.Capacity
		return r
	}
	// Guards against refusals for want of room while two data centres that each lost a part of the layers still serve
	// requests together, over paths that cross between them.
	bergamottest.Cases(map[string]estimateCase{
		"a data centre that is whole and one that lacks layers": {
			runners: []bergamotcapacity.Runner{holder("a", 0, 8, 100), holder("b", 0, 4, 50)},
			free:    100, centres: []string{"a"},
		},
		"two that lack different layers beside a full one": {
			runners: []bergamotcapacity.Runner{full("a"), holder("b", 0, 4, 50), holder("c", 2, 8, 80)},
			// Of 680 token-layers 170 are for the layers 0 to 2, which b alone holds, and the others take what b has left.
			free: 85, centres: []string{"a", ""},
		},
		"two that lack the same layers beside a full one": {
			runners: []bergamotcapacity.Runner{full("a"), holder("b", 0, 4, 50), holder("c", 0, 4, 80)},
			free:    0, centres: []string{"a"},
		},
		"none that is whole": {
			runners: []bergamotcapacity.Runner{holder("b", 0, 4, 50), holder("c", 4, 8, 80)},
			free:    50, centres: []string{""},
		},
		"layers that nobody holds": {
			runners: []bergamotcapacity.Runner{holder("b", 0, 4, 50), holder("c", 5, 8, 80)},
			unknown: true,
		},
	}, func(c estimateCase) {
		now := time.Unix(1, 0)
		m := &bergamotcapacity.Estimator{CountWindow: time.Second}
		for range 2 { // an estimate keeps nothing of the one before
			e := m.Estimate(bergamotcapacity.Input{Now: now, Layers: 8, Entries: 1, TypicalTokens: 1, Runners: c.runners})
			var names []string
			for _, centre := range e.Centres() {
				names = append(names, centre.Name())
			}
			gomega.Expect(e.IsKnown(now, time.Second)).To(gomega.Equal(!c.unknown))
			gomega.Expect(names).To(gomega.Equal(c.centres))
			gomega.Expect(e.Free()).To(gomega.BeNumerically("~", c.free, 1e-9))
		}
	})
})
