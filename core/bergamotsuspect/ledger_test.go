package bergamotsuspect_test

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotsuspect"
	"bergamotspur/core/bergamottest"
)

func digest(prompt string) bergamotsuspect.Digest {
	return bergamotsuspect.NewDigest("care", "1", "", prompt)
}

type strike struct {
	instance string
	alone    bool
	after    time.Duration
}

type ledgerCase struct {
	strikes   []strike
	clear     bool
	wait      time.Duration
	suspect   bool
	confirmed bool
}

var _ = ginkgo.Describe("Ledger", func() {
	// Guards against rejecting an innocent prompt, and against a toxic one that is never rejected.
	bergamottest.Cases(map[string]ledgerCase{
		"suspects after one failure":                          {strikes: []strike{{"a", false, 0}}, suspect: true},
		"confirms after a second failure alone":               {strikes: []strike{{"a", false, 0}, {"b", true, 0}}, suspect: true, confirmed: true},
		"confirms a second failure of the same instance":      {strikes: []strike{{"a", false, 0}, {"a", true, 0}}, suspect: true, confirmed: true},
		"does not confirm by the loss of a rack":              {strikes: []strike{{"a", false, 0}, {"b", false, 0}, {"c", false, 0}}, suspect: true},
		"counts a failure that copies report once":            {strikes: []strike{{"a", true, 0}, {"a", true, time.Second}}, suspect: true},
		"clears a suspect that ran to its end":                {strikes: []strike{{"a", false, 0}}, clear: true},
		"does not clear a confirmed content":                  {strikes: []strike{{"a", false, 0}, {"b", true, 0}}, clear: true, suspect: true, confirmed: true},
		"expires a suspect":                                   {strikes: []strike{{"a", false, 0}}, wait: time.Hour},
		"expires a confirmed content":                         {strikes: []strike{{"a", false, 0}, {"b", true, 0}}, wait: time.Hour},
		"does not add a failure to one that expired long ago": {strikes: []strike{{"a", false, 0}, {"b", true, time.Hour}}, suspect: true},
	}, func(c ledgerCase) {
		clock := bergamotclock.NewVirtual(time.Unix(0, 0))
		l := bergamotsuspect.NewLedger(clock)
		for _, s := range c.strikes {
			clock.Advance(s.after)
			l.Strike(digest("p"), s.instance, s.alone)
		}
		if c.clear {
			l.Clear(digest("p"))
		}
		clock.Advance(c.wait)
		gomega.Expect(l.Suspect(digest("p"))).To(gomega.Equal(c.suspect))
		gomega.Expect(l.Confirmed(digest("p"))).To(gomega.Equal(c.confirmed))
		// Entries whose clocks differ reach the same verdict after an exchange, however often it is repeated.
		other := bergamotsuspect.NewLedger(bergamotclock.NewVirtual(time.Unix(5000, 0)))
		other.Merge(l.Export())
		other.Merge(l.Export())
		gomega.Expect(other.Suspect(digest("p"))).To(gomega.Equal(c.suspect))
		gomega.Expect(other.Confirmed(digest("p"))).To(gomega.Equal(c.confirmed))
	})

	// Guards against memory that grows with the count of distinct prompts.
	ginkgo.It("is bounded and gives up suspects before confirmed contents", func() {
		l := bergamotsuspect.NewLedger(bergamotclock.NewVirtual(time.Unix(0, 0)))
		l.Size = 10
		l.Strike(digest("bad"), "a", false)
		l.Strike(digest("bad"), "b", true)
		for n := range 100 {
			l.Strike(digest(string(rune('a'+n))), "a", false)
		}
		gomega.Expect(l.Len()).To(gomega.Equal(10))
		gomega.Expect(l.Confirmed(digest("bad"))).To(gomega.BeTrue())
	})
})

var _ = ginkgo.Describe("Isolation", func() {
	// Guards against a suspect that shares a target, so that its failure says nothing about it.
	ginkgo.It("waits for running requests and keeps new ones away", func(ctx context.Context) {
		i := bergamotsuspect.NewIsolation()
		leave, err := i.Enter(ctx, []string{"a"}, false)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		alone := make(chan func(), 1)
		go func() {
			leave, _ := i.Enter(ctx, []string{"a", "b"}, true)
			alone <- leave
		}()
		gomega.Eventually(i.Held).Should(gomega.HaveKey("a"))
		gomega.Expect(alone).NotTo(gomega.Receive())
		ended, cancel := context.WithCancel(ctx)
		cancel()
		_, err = i.Enter(ended, []string{"b"}, false)
		gomega.Expect(err).To(gomega.MatchError(context.Canceled))
		leave()
		(<-alone)()
		gomega.Expect(i.Held()).To(gomega.BeEmpty())
	})
})
