package bergamotdetour_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamottest"
)

type cutCase struct {
	entries int
	centres int
	isCut   func(f *fleet) func(n int, e *fleetEntry) bool
	isGone  func(n int, e *fleetEntry) bool // the entry does not answer from the begin of the cut on; nil for none
}

// share cuts a number of parts of a hundred.
func share(parts int) func(f *fleet) func(int, *fleetEntry) bool {
	return func(f *fleet) func(int, *fleetEntry) bool {
		order := f.random.Perm(len(f.entries))
		return func(n int, _ *fleetEntry) bool { return 100*order[n] < parts*len(order) }
	}
}

func centre(*fleet) func(int, *fleetEntry) bool {
	return func(_ int, e *fleetEntry) bool { return e.helper.Centre() == "c1" }
}

func allButLast(f *fleet) func(int, *fleetEntry) bool {
	return func(n int, _ *fleetEntry) bool { return n < len(f.entries)-1 }
}

func all(*fleet) func(int, *fleetEntry) bool {
	return func(int, *fleetEntry) bool { return true }
}

func isFirstHub(n int, e *fleetEntry) bool { return e.isHub && n < 5 }

var _ = ginkgo.Describe("an entry that is cut", func() {
	const (
		minFair = 8           // entries that can help, from which on the load is compared
		found   = time.Second // after which helpers have to be found
		steady  = 2 * time.Second
		fair    = 6 * time.Second // a pool is replaced several times, so that the load is compared
	)
	// Guards against callers that are refused although an entry can help, against connections that lose time on entries that are cut
	// too, against helpers that are overrun because all choose the same ones, and against hubs that are overrun with queries.
	bergamottest.Cases(map[string]cutCase{
		"finds helpers among 4 when a third is cut":                            {entries: 4, centres: 2, isCut: share(33)},
		"finds helpers among 4 when 60 in 100 are cut":                         {entries: 4, centres: 2, isCut: share(60)},
		"finds helpers among 4 when a data centre is cut":                      {entries: 4, centres: 2, isCut: centre},
		"finds helpers among 4 when all but one are cut":                       {entries: 4, centres: 2, isCut: allButLast},
		"finds helpers among 27 when a third is cut":                           {entries: 27, centres: 3, isCut: share(33)},
		"finds helpers among 27 when 60 in 100 are cut":                        {entries: 27, centres: 3, isCut: share(60)},
		"finds helpers among 27 when a data centre is cut":                     {entries: 27, centres: 3, isCut: centre},
		"finds helpers among 27 when all but one are cut":                      {entries: 27, centres: 3, isCut: allButLast},
		"finds helpers among 27 when 60 in 100 are cut and hubs are gone":      {entries: 27, centres: 5, isCut: share(60), isGone: isFirstHub},
		"finds helpers among 840 when a third is cut":                          {entries: 840, centres: 5, isCut: share(33)},
		"finds helpers among 840 when 60 in 100 are cut":                       {entries: 840, centres: 5, isCut: share(60)},
		"finds helpers among 840 when a data centre is cut":                    {entries: 840, centres: 5, isCut: centre},
		"finds the only one among 840 that is not cut, which cannot carry all": {entries: 840, centres: 5, isCut: allButLast},
	}, func(c cutCase) {
		f := newFleet(c.entries, c.centres)
		f.cut(c.isCut(f))
		for n, e := range f.entries {
			e.isGone = c.isGone != nil && c.isGone(n, e)
		}
		f.run(found)
		d := steady
		if f.able() >= minFair {
			d = fair
		}
		got := f.run(d)
		gomega.Expect(got.missed).To(gomega.BeZero(), "connections that found no helper")
		gomega.Expect(got.opened).To(gomega.BeNumerically(">", 0))
		gomega.Expect(got.queries).To(gomega.BeNumerically("<=", f.maxQueries()), "queries to one hub in a second")
		if got.failed == 0 {
			gomega.Expect(float64(got.asks)/float64(got.opened)).To(gomega.BeNumerically("<", 1.05), "entries asked for one connection")
		}
		if got.able >= minFair {
			gomega.Expect(got.unfair).To(gomega.BeNumerically("<=", 3), "load of the busiest helper, in multiples of the mean")
		}
		ginkgo.GinkgoWriter.Printf("%d of %d entries can help: %+v\n", got.able, c.entries, got)
	})

	// Guards against callers that wait for answers of entries which are all cut, and against entries that are not asked again when
	// their cut ends.
	bergamottest.Cases(map[string]cutCase{
		"refuses at once while all 4 are cut, until one can help":             {entries: 4, centres: 2, isCut: allButLast},
		"refuses at once while all 27 are cut, until one can help":            {entries: 27, centres: 3, isCut: allButLast},
		"refuses at once while all 840 are cut, until a data centre can help": {entries: 840, centres: 5, isCut: centre},
	}, func(c cutCase) {
		f := newFleet(c.entries, c.centres)
		f.cut(all(f))
		f.run(found)
		got := f.run(steady)
		gomega.Expect(got.opened).To(gomega.BeZero())
		gomega.Expect(got.asks).To(gomega.BeNumerically("<=", c.entries*int(steady/time.Second)), "one for each entry and second")
		gomega.Expect(got.queries).To(gomega.BeNumerically("<=", f.maxQueries()), "queries to one hub in a second")
		ginkgo.GinkgoWriter.Printf("none of %d entries can help: %+v\n", c.entries, got)
		isAble := c.isCut(f)
		for n, e := range f.entries {
			gomega.Expect(e.helpers.Available()).To(gomega.BeFalse())
			if isAble(n, e) == (c.entries == 840) {
				e.heal()
			}
		}
		f.run(found + tick)
		gomega.Expect(f.run(time.Second).missed).To(gomega.BeZero(), "connections that found no helper")
	})
})
