package bergamotretry_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotretry"
	"bergamotspur/core/bergamottest"
)

// pool lends from a budget; it counts the loans.
type pool struct {
	budget *bergamotretry.Budget
	silent bool
	loans  int
}

func (p *pool) Borrow(service string, share float64) bool {
	p.loans++
	return !p.silent && p.budget.TakeWithin(service, share)
}

type sharedCase struct {
	wanted int     // retries that one of the entries wants
	share  float64 // of the budget that these may use
	silent bool    // the lender cannot be reached
	got    int
}

var _ = ginkgo.Describe("a shared retry budget of 118 entries", func() {
	const reserve = 600.0 // retries in ten seconds, 30% of which each entry has an equal part of
	newEntries := func(silent bool) (entries []*bergamotretry.SharedBudget, p *pool, clock *bergamotclock.Virtual) {
		clock = bergamotclock.NewVirtual(time.Unix(1000, 0))
		p = &pool{silent: silent, budget: &bergamotretry.Budget{Clock: clock, Reserve: 0.7 * reserve, Window: 10 * time.Second, MaxKeys: 10}}
		for range 118 {
			own := &bergamotretry.Budget{Clock: clock, Reserve: 0.3 * reserve / 118, Window: 10 * time.Second, MaxKeys: 10}
			entries = append(entries, &bergamotretry.SharedBudget{Own: own, Lender: p, Clock: clock})
		}
		return entries, p, clock
	}
	// Guards against requests that are refused because their entry has used its part while most of the budget is unused
	// (olilaud-large trouble-1, 24 to 28 s: parts of five retries for ten seconds), and against interrupted streams that
	// find the budget used up by rejected requests.
	bergamottest.Cases(map[string]sharedCase{
		"covers the retries of one entry that a failure hits": {wanted: 60, share: 1, got: 60},
		"leaves a part to others when one wants all":          {wanted: 600, share: 0.7, got: 294},
		"allows an entry its own part without the others":     {wanted: 60, share: 1, silent: true, got: 1},
	}, func(c sharedCase) {
		entries, p, _ := newEntries(c.silent)
		got := 0
		for range c.wanted {
			if entries[0].TakeWithin("llm", c.share) {
				got++
			}
		}
		gomega.Expect(got).To(gomega.BeNumerically("~", c.got, 2))
		gomega.Expect(p.loans).To(gomega.BeNumerically("<=", c.wanted))
	})

	// Guards against more retries of all entries together than the platform allows.
	ginkgo.It("is not exceeded by all entries together in any ten seconds", func() {
		entries, _, clock := newEntries(false)
		var taken []int
		for range 300 {
			n := 0
			for _, e := range entries {
				if e.Take("llm") {
					n++
				}
			}
			taken = append(taken, n)
			clock.Advance(100 * time.Millisecond)
		}
		for i := range len(taken) - 100 {
			sum := 0
			for _, n := range taken[i : i+100] {
				sum += n
			}
			gomega.Expect(sum).To(gomega.BeNumerically("<=", reserve))
		}
	})

	// Guards against a call to the lender for each request while it lends nothing.
	ginkgo.It("does not ask again at once after a refusal", func() {
		entries, p, clock := newEntries(true)
		for range 100 {
			entries[0].Take("llm")
			clock.Advance(10 * time.Millisecond)
		}
		gomega.Expect(p.loans).To(gomega.BeNumerically("<=", 6))
	})
})
