package bergamotcapacity_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"bergamotspur/core/bergamotcapacity"
)

const (
	siteLayers     = 8
	groupRunners   = 4          // runners that hold all layers together
	runnerTokens   = 12_000 * 2 // token-layers that the entries use on a runner: 12,000 tokens in its 2 layers
	runnerMemory   = runnerTokens / 0.9
	typicalTokens  = 1200
	reportInterval = 400 * time.Millisecond
	reportLag      = 300 * time.Millisecond
	reportTTL      = 1500 * time.Millisecond
	pathPoll       = 40 * time.Millisecond
	maxPathWait    = 1200 * time.Millisecond
)

// event is a step of the simulation at a time.
type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// site is a simulated deployment: runners, the entries in front of them and callers, in virtual time.
type site struct {
	start, now time.Time
	events     events
	seq        int
	random     *rand.Rand
	streams    uint64 // streams of requests so far
	filters    bool   // whether the entries decide about admission
	runners    []*siteRunner
	entries    []*siteEntry
	centres    int
	mute       map[int]bool     // entries that get no reports
	silent     bool             // nobody gets reports
	outcomes   map[int]*outcome // by priority
	workspaces map[string]*outcome
	violations []string
}

// siteRunner is a runner with the memory that requests really use and the last report.
type siteRunner struct {
	centre, from, to int
	used             float64
	reported         float64
	reportedAt       time.Time
	lost             bool
}

// siteEntry is one entry with its own view of the runners.
type siteEntry struct {
	site      *site
	number    int
	admission *bergamotcapacity.Admission
	estimator bergamotcapacity.Estimator
	own       map[int]float64 // by runner
	ownAt     map[int]float64 // by runner, when its report was recorded
	waiting   []*siteRequest
	published time.Time
	loads     []bergamotcapacity.Runner
}

// newSite returns a site with the given number of groups of runners in each data centre.
func newSite(seed uint64, entries, centres, groups int, filters bool) *site {
	s := &site{
		start: time.Unix(1000, 0), now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1)), filters: filters, centres: centres,
		mute: map[int]bool{}, outcomes: map[int]*outcome{}, workspaces: map[string]*outcome{},
	}
	for c := range centres {
		for range groups {
			for r := range groupRunners {
				width := siteLayers / groupRunners
				s.runners = append(s.runners, &siteRunner{centre: c, from: r * width, to: (r + 1) * width})
			}
		}
	}
	for n := range entries {
		s.entries = append(s.entries, &siteEntry{
			site: s, number: n, admission: bergamotcapacity.NewAdmission(bergamotcapacity.DefaultThresholds()), own: map[int]float64{}, ownAt: map[int]float64{},
			estimator: bergamotcapacity.Estimator{CountWindow: bergamotcapacity.DefaultCountWindow},
		})
	}
	for n := range s.runners {
		s.after(time.Duration(s.random.Int64N(int64(reportInterval))), func() { s.report(n) })
	}
	return s
}

// capacity returns the tokens that fit on all runners.
func (s *site) capacity() float64 {
	return float64(len(s.runners)) / groupRunners * runnerTokens * groupRunners / siteLayers
}

func (s *site) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now.Add(d), seq: s.seq, run: f})
}

// run runs the simulation for d.
func (s *site) run(d time.Duration) {
	end := s.start.Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// report takes the report of a runner and gives it to the entries after a while.
func (s *site) report(n int) {
	r := s.runners[n]
	used, at := r.used, s.now
	s.after(reportInterval, func() { s.report(n) })
	if r.lost || s.silent {
		return
	}
	s.after(reportLag, func() {
		r.reported, r.reportedAt = used, at
		for _, e := range s.entries {
			if own := e.own[n]; own > 0 {
				e.ownAt[n] = own
			} else {
				delete(e.ownAt, n)
			}
			if len(e.waiting) > 0 {
				e.refresh()
			}
		}
	})
}

// refresh makes a new estimate unless there is a recent one. Entries with many requests have one every 50 ms; here it is as old
// as a fifth of a second, which keeps the test short.
func (e *siteEntry) refresh() {
	if e.site.filters && e.site.now.Sub(e.published) >= 200*time.Millisecond {
		e.publish()
	}
}

func (e *siteEntry) publish() {
	s := e.site
	if s.mute[e.number] {
		return
	}
	e.published = s.now
	e.loads = e.loads[:0]
	names := []string{"a", "b", "c", "d", "e"}
	for n, r := range s.runners {
		if r.lost {
			continue
		}
		own := e.own[n]
		load := bergamotcapacity.Runner{Centre: names[r.centre], From: r.from, To: r.to, Capacity: runnerTokens, Own: own, Used: own, OwnUsed: own}
		if age := s.now.Sub(r.reportedAt); age < reportTTL {
			load.Used, load.OwnUsed, load.Age, load.Reported = max(r.reported, e.ownAt[n]), e.ownAt[n], age, true
		}
		e.loads = append(e.loads, load)
	}
	e.admission.Publish(s.now, e.estimator.Estimate(bergamotcapacity.Input{
		Now: s.now, Layers: siteLayers, Runners: e.loads, Entries: len(s.entries), TypicalTokens: typicalTokens,
	}))
	e.collect()
}
