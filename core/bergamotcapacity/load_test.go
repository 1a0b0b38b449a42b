package bergamotcapacity_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotcapacity"
	"bergamotspur/core/bergamottest"
)

// poisson makes requests arrive at random times from begin to end. load is relative to what the site can serve.
func (s *site) poisson(begin, end time.Duration, load float64, entries func(n int) bool, r bergamotcapacity.Request) {
	perSecond := load * s.capacity() / r.Tokens / 2 // a request runs for 2 s on average
	var targets []*siteEntry
	for n, e := range s.entries {
		if entries == nil || entries(n) {
			targets = append(targets, e)
		}
	}
	// A source of its own makes the same requests arrive with and without the filter.
	s.streams++
	random := rand.New(rand.NewPCG(s.streams, 2))
	var next func()
	next = func() {
		if s.now.Sub(s.start) >= end {
			return
		}
		s.send(targets[random.IntN(len(targets))], r)
		s.after(time.Duration(random.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	s.after(begin, next)
}

func (s *site) send(e *siteEntry, r bergamotcapacity.Request) {
	r.Deadline = s.now.Add(10 * time.Second)
	s.arrive(e, r)
}

var (
	urgent = bergamotcapacity.Request{Workspace: "counter", Priority: 0, Tokens: typicalTokens, TargetLatency: 500 * time.Millisecond}
	chat   = bergamotcapacity.Request{Workspace: "chat", Priority: 1, Tokens: typicalTokens, TargetLatency: 500 * time.Millisecond}
	draft  = bergamotcapacity.Request{Workspace: "drafts", Priority: 2, Tokens: typicalTokens, TargetLatency: time.Second}
)

const loadTime = 6 * time.Second // for which requests arrive

type loadCase struct {
	entries int
	load    func(s *site)
	check   func(with, without *site)
}

var _ = ginkgo.Describe("admission under load", func() {
	burst := func(s *site) {
		s.poisson(0, loadTime, 0.2, nil, urgent)
		s.poisson(0, loadTime, 0.7, nil, draft)
		s.poisson(2*time.Second, 4*time.Second, 0.6, nil, urgent)
	}
	wave := func(s *site) {
		inCentre := func(n int) bool { return n%s.centres == 0 }
		s.poisson(0, loadTime, 0.4, nil, urgent)
		s.poisson(0, loadTime, 0.2, nil, chat)
		s.poisson(time.Second, 5*time.Second, 0.25, inCentre, urgent)
		s.poisson(time.Second, 5*time.Second, 0.25, inCentre, draft)
	}
	lost := func(s *site) {
		s.poisson(0, loadTime, 0.4, nil, urgent)
		s.poisson(0, loadTime, 0.2, nil, chat)
		s.poisson(0, loadTime, 0.2, nil, draft)
		perCentre := len(s.runners) / s.centres
		setLost := func(centre, groups int, lost bool) func() {
			return func() {
				for _, r := range s.runners[centre*perCentre : centre*perCentre+groups*groupRunners] {
					r.lost = lost
				}
			}
		}
		s.after(2*time.Second, setLost(0, max(perCentre/groupRunners/2, 1), true))
		s.after(2*time.Second, setLost(1, 1, true))
		s.after(3*time.Second, setLost(1, 1, false)) // its new process has the layers
	}
	crowd := func(s *site) {
		s.poisson(0, loadTime, 0.5, nil, urgent)
		s.after(2*time.Second, func() {
			for range int(1.2 * s.capacity() / typicalTokens) {
				s.send(s.entries[s.random.IntN(len(s.entries))], draft)
			}
		})
	}
	hotKey := func(s *site) {
		hot := draft
		hot.Workspace = "hot"
		s.poisson(0, loadTime, 0.5, nil, urgent)
		s.poisson(0, loadTime, 0.1, nil, draft)
		s.poisson(0, loadTime, 0.8, nil, hot)
	}
	large := func(s *site) {
		big := draft
		big.Workspace, big.Tokens = "large", 5*typicalTokens
		s.poisson(0, loadTime, 0.5, nil, urgent)
		s.poisson(0, loadTime, 0.5, nil, draft)
		for n := range 10 {
			s.after(time.Duration(n)*500*time.Millisecond, func() {
				e := s.entries[s.random.IntN(len(s.entries))]
				s.send(e, big)
				s.send(e, big)
			})
		}
	}
	cutOff := func(s *site) {
		burst(s)
		s.after(time.Second, func() {
			for n := range s.entries {
				s.mute[n] = n%2 == 0
			}
		})
	}
	hubsLost := func(s *site) {
		burst(s)
		s.after(2*time.Second, func() { s.silent = true })
		s.after(4500*time.Millisecond, func() { s.silent = false })
	}
	isFair := func(with, _ *site) {
		share := func(o *outcome) float64 { return float64(o.onTime) / float64(o.asked) }
		gomega.Expect(share(with.workspaces["drafts"])).To(gomega.BeNumerically(">=", 0.95*share(with.workspaces["hot"])))
	}
	servesLarge := func(with, without *site) {
		gomega.Expect(with.workspaces["large"].served()).To(gomega.BeNumerically(">=", without.workspaces["large"].served()-2))
	}
	table := map[string]loadCase{}
	for _, n := range []int{4, 28, 71, 840} {
		for name, c := range map[string]loadCase{
			"urgent burst beside drafts":    {load: burst},
			"one data centre's wave":        {load: wave},
			"group lost beside a roll":      {load: lost},
			"crowd that returns at once":    {load: crowd},
			"one workspace's hot key":       {load: hotKey, check: isFair},
			"half of the entries cut off":   {load: cutOff},
			"all reports missing for long":  {load: hubsLost},
			"two large ones and many small": {load: large, check: servesLarge},
		} {
			c.entries = n
			table[fmt.Sprintf("%s, %d entries", name, n)] = c
		}
	}
	// Guards against urgent requests that are served worse because of the filter, against fewer answers in all, against a wait past
	// the bound, and against records of requests that have ended.
	bergamottest.Cases(table, func(c loadCase) {
		groups := map[int]int{4: 2, 28: 7, 71: 8, 840: 12}[c.entries]
		run := func(filters bool) *site {
			s := newSite(5, c.entries, 3, groups, filters)
			c.load(s)
			s.run(loadTime + 14*time.Second) // until all have ended
			return s
		}
		with, without := run(true), run(false)
		for p := range 3 {
			ginkgo.GinkgoWriter.Printf("priority %d: with %+v, without %+v\n", p, *with.outcome(p), *without.outcome(p))
		}
		for name := range with.workspaces {
			ginkgo.GinkgoWriter.Printf("workspace %s: with %+v, without %+v\n", name, *with.workspaces[name], *without.workspaces[name])
		}
		gomega.Expect(with.violations).To(gomega.BeEmpty())
		total := func(s *site) (served, asked float64) {
			for p := range 3 {
				served += float64(s.outcome(p).served())
				asked += float64(s.outcome(p).asked)
			}
			return served, asked
		}
		served, asked := total(with)
		servedBefore, askedBefore := total(without)
		gomega.Expect(served / asked).To(gomega.BeNumerically(">=", servedBefore/askedBefore-0.02))
		onTime := func(o *outcome) float64 { return float64(o.onTime) / float64(o.asked) }
		gomega.Expect(onTime(with.outcome(0))).To(gomega.BeNumerically(">=", onTime(without.outcome(0))-0.03))
		for _, e := range with.entries {
			status := e.admission.Status(with.now)
			gomega.Expect(status.InFlight()).To(gomega.BeZero())
			for _, l := range status.Levels() {
				gomega.Expect(l.Waiting()).To(gomega.BeZero())
			}
		}
		if c.check != nil {
			c.check(with, without)
		}
	})
})
