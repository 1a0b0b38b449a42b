package bergamotretry_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotretry"
	"bergamotspur/core/bergamottest"
)

// observed is a registration of a hub.
type observed struct {
	at   time.Duration // since the start of the process
	part float64
}

type shareCase struct {
	settled bool
	renewed []observed
	at      time.Duration
	want    float64
}

var _ = ginkgo.Describe("the part of the retries that a hub lends", func() {
	// renewals returns a registration each four seconds.
	renewals := func(from, to time.Duration, part float64) (out []observed) {
		for at := from; at <= to; at += 4 * time.Second {
			out = append(out, observed{at, part})
		}
		return out
	}
	then := func(a []observed, b ...observed) []observed { return append(a, b...) }
	// Guards against two hubs that lend for the same entries within a window, and against one that lends on after others
	// have taken its entries.
	bergamottest.Cases(map[string]shareCase{
		"is lent after a window if no other hub can have lent it": {settled: true, renewed: renewals(0, 8*time.Second, 0.2), at: 10 * time.Second, want: 0.2},
		"is not lent in the first window":                         {settled: true, renewed: renewals(0, 8*time.Second, 0.2), at: 9900 * time.Millisecond},
		"is not lent while another hub may have lent it":          {renewed: renewals(0, 16*time.Second, 0.2), at: 17900 * time.Millisecond},
		"is lent when another hub cannot have lent it any more":   {renewed: renewals(0, 16*time.Second, 0.2), at: 18 * time.Second, want: 0.2},
		"is not lent without a registration":                      {settled: true, at: 20 * time.Second},
		"is lent for a while after a registration":                {settled: true, renewed: renewals(0, 12*time.Second, 0.2), at: 19900 * time.Millisecond, want: 0.2},
		"is not lent when the registration may not count":         {settled: true, renewed: renewals(0, 12*time.Second, 0.2), at: 20 * time.Second},
		"falls at once":                      {settled: true, renewed: then(renewals(0, 20*time.Second, 0.2), observed{21 * time.Second, 0.1}), at: 21 * time.Second, want: 0.1},
		"ends at once with the registration": {settled: true, renewed: then(renewals(0, 20*time.Second, 0.2), observed{21 * time.Second, 0}), at: 21 * time.Second},
		"grows late":                         {settled: true, renewed: then(renewals(0, 20*time.Second, 0.2), renewals(24*time.Second, 40*time.Second, 0.3)...), at: 41900 * time.Millisecond, want: 0.2},
		"has grown when the earlier hub of the entries lent no more": {settled: true, renewed: then(renewals(0, 20*time.Second, 0.2), renewals(24*time.Second, 40*time.Second, 0.3)...), at: 42 * time.Second, want: 0.3},
		"does not grow by an outage of the store":                    {settled: true, renewed: then(renewals(0, 20*time.Second, 0.2), observed{60 * time.Second, 0.9}), at: 61 * time.Second, want: 0.2},
	}, func(c shareCase) {
		clock := bergamotclock.NewVirtual(time.Unix(1000, 0))
		started := clock.Now()
		s := &bergamotretry.Share{Clock: clock, Window: window, Started: started}
		for _, o := range c.renewed {
			clock.Advance(started.Add(o.at).Sub(clock.Now()))
			s.Observe(o.part, c.settled)
		}
		clock.Advance(started.Add(c.at).Sub(clock.Now()))
		gomega.Expect(s.Part()).To(gomega.Equal(c.want))
	})
})
