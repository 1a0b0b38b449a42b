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

func parseLoad(text string) *bergamotbundle.Bundle {
	return bergamottest.Bundle(text)
}

// flightBound returns the best rate of a site with a number of sequences in flight, in tokens a second. A sequence is
// at one machine at a time, so that the batches of all machines add up to that number; the layer rate of all machines
// together is largest when one more sequence gains the same everywhere.
func flightBound(s *site, flight float64) float64 {
	layers := 0.0
	low, high := 0.0, 1e3
	for range 60 {
		gain := (low + high) / 2
		used := 0.0
		layers = 0
		for _, m := range s.order {
			step, slot := m.step.Seconds(), m.slot.Seconds()
			n := max((math.Sqrt((step-slot)/(gain*1e3))-step)/slot+1, 0)
			used += n
			if n > 0 {
				layers += n / (step + slot*max(n-1, 0))
			}
		}
		if used > flight {
			low = gain
		} else {
			high = gain
		}
	}
	return layers / 12
}

// rate returns the tokens a second of a site in which four entries keep a number of sequences in flight and see
// reports that are renewed each second.
func rate(rule string, seed uint64, flight int) float64 {
	s := mixed(newLoop(seed), parseLoad(loadBundle))
	p, _ := s.bundle.Pipeline("advice")
	fleet := s.fleet()
	var renew func()
	renew = func() { fleet = s.fleet(); s.after(time.Second, renew) }
	s.after(time.Second, renew)
	tokens := 0
	const warm, end = 3 * time.Second, 5 * time.Second
	for n := range 4 {
		var c chooser = bergamotroute.NewRouter(s.clock, rand.New(rand.NewPCG(seed, uint64(n))), "tartu")
		if rule != "policy" {
			c = newWalk(s, rule)
		}
		var next func()
		next = func() {
			plan, _ := c.Route(bergamotroute.Want{Pipeline: p, Bundle: s.bundle, Fleet: fleet})
			q := &sequence{plan: plan, left: 10 + s.random.IntN(20)}
			begun, first := s.clock.Now(), 0
			q.token = func() {
				if s.clock.Now().After(epoch.Add(warm)) {
					tokens++
				}
				if first++; first%8 == 0 || q.ended {
					count := (first-1)%8 + 1
					c.Observe(plan, s.clock.Now().Sub(begun)/time.Duration(count))
					begun = s.clock.Now()
				}
				if q.ended {
					c.Finish(plan)
					next()
				}
			}
			s.start(q)
		}
		for range flight / 4 {
			s.after(time.Duration(s.random.IntN(1000))*time.Millisecond, next)
		}
	}
	s.run(end)
	return float64(tokens) / (end - warm).Seconds()
}

// flights are numbers of sequences in flight over 40 runners.
var flights = []int{40, 120, 400}

// Guards against path selection that is worse than plain rules with old reports, unlike kinds and four entries.
var _ = ginkgo.Describe("throughput with four entries and old reports", func() {
	ginkgo.It("is above random, round robin and least in flight", func() {
		for _, flight := range flights {
			policy := rate("policy", 1, flight)
			for _, rule := range []string{"random", "robin", "least"} {
				gomega.Expect(policy).To(gomega.BeNumerically(">", rate(rule, 1, flight)), "%s with %d in flight", rule, flight)
			}
		}
	})
})

func BenchmarkBound(b *testing.B) {
	for range b.N {
		site := mixed(newLoop(1), parseLoad(loadBundle))
		for _, flight := range flights {
			line := ""
			for _, rule := range []string{"policy", "least", "robin", "random"} {
				sum := 0.0
				for seed := uint64(1); seed <= 3; seed++ {
					sum += rate(rule, seed, flight) / 3
				}
				line += fmt.Sprintf(" %s %.0f/s", rule, sum)
				if rule == "policy" {
					bound := flightBound(site, float64(flight))
					line += fmt.Sprintf(" (%.2f of the bound %.0f/s)", sum/bound, bound)
				}
			}
			b.Logf("in flight %d:%s", flight, line)
		}
	}
}
