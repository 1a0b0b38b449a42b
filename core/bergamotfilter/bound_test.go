package bergamotfilter_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotroute"
	"bergamotspur/core/bergamottest"
)

var loadBundle = bergamottest.MinimalBundle + fmt.Sprintf(`[kind fast]
step = 100
slope = 20
[kind mid]
step = 100
slope = 20
[kind slow]
step = 100
slope = 20
[model care]
layers = 12
[pipeline advice]
model = care
limit = 1000
deadline = 20s
[workspace kitchen]
keys = %s
pipelines = *
`, bergamotbundle.HashKey("kitchen-key"))

func parseBundle(text string) *bergamotbundle.Bundle {
	return bergamottest.Bundle(text)
}

// maxRateInFlight returns the highest rate of a cluster in tokens per second with a number of sequences in flight. A
// sequence is at one machine at a time, so the batch sizes of all machines add up to that number. The total layer rate
// is highest when one more sequence gains the same at every machine.
func maxRateInFlight(s *cluster, inFlight float64) float64 {
	layers := 0.0
	low, high := 0.0, 1e3
	for range 60 {
		marginalGain := (low + high) / 2
		totalBatch := 0.0
		layers = 0
		for _, m := range s.order {
			layerTime, extraTime := m.layerTime.Seconds(), m.extraTime.Seconds()
			n := max((math.Sqrt((layerTime-extraTime)/(marginalGain*1e3))-layerTime)/extraTime+1, 0)
			totalBatch += n
			if n > 0 {
				layers += n / (layerTime + extraTime*max(n-1, 0))
			}
		}
		if totalBatch > inFlight {
			low = marginalGain
		} else {
			high = marginalGain
		}
	}
	return layers / 12
}

// simulateTokenRate returns the tokens per second of a cluster to which four entries send a number of sequences in
// total, with load reports that are refreshed once a second.
func simulateTokenRate(rule string, seed uint64, inFlight int) float64 {
	s := newMixedCluster(newEventLoop(seed), parseBundle(loadBundle))
	p, _ := s.bundle.Pipeline("advice")
	fleet := s.fleet()
	var refresh func()
	refresh = func() { fleet = s.fleet(); s.schedule(time.Second, refresh) }
	s.schedule(time.Second, refresh)
	tokens := 0
	const warmUp, end = 3 * time.Second, 5 * time.Second
	for n := range 4 {
		var c pathSelector = bergamotroute.NewRouter(s.clock, rand.New(rand.NewPCG(seed, uint64(n))), "tartu")
		if rule != "policy" {
			c = newBaselineRouter(s, rule)
		}
		var next func()
		next = func() {
			plan, _ := c.Route(bergamotroute.Query{Pipeline: p, Bundle: s.bundle, Fleet: fleet})
			q := &sequence{plan: plan, remaining: 10 + s.random.IntN(20)}
			observedFrom, generated := s.clock.Now(), 0
			q.onToken = func() {
				if s.clock.Now().After(epoch.Add(warmUp)) {
					tokens++
				}
				if generated++; generated%8 == 0 || q.ended {
					count := (generated-1)%8 + 1
					c.Observe(plan, s.clock.Now().Sub(observedFrom)/time.Duration(count))
					observedFrom = s.clock.Now()
				}
				if q.ended {
					c.Release(plan)
					next()
				}
			}
			s.start(q)
		}
		for range inFlight / 4 {
			s.schedule(time.Duration(s.random.IntN(1000))*time.Millisecond, next)
		}
	}
	s.run(end)
	return float64(tokens) / (end - warmUp).Seconds()
}

// inFlightCounts are the numbers of sequences in flight over 40 runners.
var inFlightCounts = []int{40, 120, 400}

// Guards against a router that performs worse than simple rules with outdated reports, runners of different speed and
// four entries.
var _ = ginkgo.Describe("throughput with four entries and outdated reports", func() {
	ginkgo.It("exceeds random, round robin and least in flight", func() {
		for _, inFlight := range inFlightCounts {
			policy := simulateTokenRate("policy", 1, inFlight)
			for _, rule := range []string{"random", "robin", "least"} {
				gomega.Expect(policy).To(gomega.BeNumerically(">", simulateTokenRate(rule, 1, inFlight)), "%s with %d in flight", rule, inFlight)
			}
		}
	})
})

func BenchmarkBound(b *testing.B) {
	for range b.N {
		cluster := newMixedCluster(newEventLoop(1), parseBundle(loadBundle))
		for _, inFlight := range inFlightCounts {
			line := ""
			for _, rule := range []string{"policy", "least", "robin", "random"} {
				sum := 0.0
				for seed := uint64(1); seed <= 3; seed++ {
					sum += simulateTokenRate(rule, seed, inFlight) / 3
				}
				line += fmt.Sprintf(" %s %.0f/s", rule, sum)
				if rule == "policy" {
					bound := maxRateInFlight(cluster, float64(inFlight))
					line += fmt.Sprintf(" (%.2f of the bound %.0f/s)", sum/bound, bound)
				}
			}
			b.Logf("in flight %d:%s", inFlight, line)
		}
	}
}
