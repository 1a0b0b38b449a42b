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

// siteRequest is a request of a caller and its attempts.
type siteRequest struct {
	bergamotcapacity.Request
	ticket   *bergamotcapacity.Ticket
	since    time.Time
	decision bergamotcapacity.Decision
	entry    *siteEntry
	returns  int // times that the caller has returned
	first    time.Time
}

// outcome counts what became of the requests of one priority.
type outcome struct{ asked, onTime, late, refused, rejected, held, gaveUp int }

func (o *outcome) served() int { return o.onTime + o.late }

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

// arrive makes a caller send a request to an entry.
func (s *site) arrive(e *siteEntry, r bergamotcapacity.Request) {
	q := &siteRequest{Request: r, first: s.now, entry: e}
	q.count(func(o *outcome) { o.asked++ })
	q.send(e)
}

// outcome returns the counts of a priority.
func (s *site) outcome(priority int) *outcome {
	if s.outcomes[priority] == nil {
		s.outcomes[priority] = &outcome{}
	}
	return s.outcomes[priority]
}

// count changes the counts of the priority and of the workspace of a request.
func (q *siteRequest) count(change func(o *outcome)) {
	s := q.entry.site
	if s.workspaces[q.Workspace] == nil {
		s.workspaces[q.Workspace] = &outcome{}
	}
	change(s.outcome(q.Priority))
	change(s.workspaces[q.Workspace])
}

func (q *siteRequest) send(e *siteEntry) {
	s := e.site
	q.entry, q.Arrived, q.since = e, s.now, s.now
	if !s.filters {
		q.route(s.now)
		return
	}
	e.refresh()
	d, t := e.admission.Arrive(s.now, q.Request)
	q.decision, q.ticket = d, t
	switch {
	case t != nil:
		q.count(func(o *outcome) { o.held++ })
		e.waiting = append(e.waiting, q)
		s.after(d.MaxWait(), func() { q.expire(t) })
	case d.Action() == bergamotcapacity.Admit:
		q.route(s.now)
	default:
		q.refuse()
	}
	e.collect()
}

// collect continues the requests whose wait has ended.
func (e *siteEntry) collect() {
	var ended []*siteRequest
	left := e.waiting[:0]
	for _, q := range e.waiting {
		select {
		case <-q.ticket.Granted():
			ended = append(ended, q)
		default:
			left = append(left, q)
		}
	}
	e.waiting = left
	for _, q := range ended {
		q.decision = q.ticket.Decision()
		q.ticket = nil
		if q.decision.Action() == bergamotcapacity.Admit {
			q.route(e.site.now)
		} else {
			q.refuse()
		}
	}
}

func (q *siteRequest) expire(t *bergamotcapacity.Ticket) {
	if q.ticket != t {
		return
	}
	e := q.entry
	for n, other := range e.waiting {
		if other == q {
			e.waiting = append(e.waiting[:n:n], e.waiting[n+1:]...)
		}
	}
	q.ticket = nil
	q.decision = e.admission.Expire(e.site.now, t)
	if q.decision.Waited() > 500*time.Millisecond {
		e.site.violations = append(e.site.violations, "waited past the bound")
	}
	if q.decision.Action() == bergamotcapacity.Admit {
		q.route(e.site.now)
	} else {
		q.refuse()
	}
}

// refuse makes the caller return later, unless it has returned too often.
func (q *siteRequest) refuse() {
	s := q.entry.site
	if q.Priority <= q.MostUrgent {
		s.violations = append(s.violations, "an urgent request was refused")
	}
	q.count(func(o *outcome) { o.refused++ })
	q.comeBack(q.entry.admission.RetryAfter(s.now, q.decision, q.Deadline.Sub(s.now), s.random.Float64()))
}

func (q *siteRequest) comeBack(d time.Duration) {
	s := q.entry.site
	q.returns++
	if q.returns > 3 || s.now.Add(d).After(q.Deadline) {
		q.count(func(o *outcome) { o.gaveUp++ })
		return
	}
	s.after(d, func() { q.send(s.entries[s.random.IntN(len(s.entries))]) })
}

// route looks for a path as the router does, by the last reports and what this entry has sent.
func (q *siteRequest) route(since time.Time) {
	e := q.entry
	s := e.site
	var path []int
	centre := s.random.IntN(s.centres)
	for c := range s.centres {
		if path = e.path((centre+c)%s.centres, q.Tokens); path != nil {
			break
		}
	}
	if path == nil {
		if s.now.Sub(since) < maxPathWait {
			s.after(pathPoll, func() { q.route(since) })
			return
		}
		q.reject()
		return
	}
	perRunner := q.Tokens * siteLayers / groupRunners
	for _, n := range path {
		if s.runners[n].used+perRunner > runnerMemory {
			s.after(2*time.Millisecond, q.reject) // the runner rejects it
			return
		}
	}
	for _, n := range path {
		s.runners[n].used += perRunner
		e.own[n] += perRunner
	}
	// The first event takes about 60 ms.
	if s.now.Sub(q.first) < q.TargetLatency-60*time.Millisecond {
		q.count(func(o *outcome) { o.onTime++ })
	} else {
		q.count(func(o *outcome) { o.late++ })
	}
	s.after(time.Second+time.Duration(s.random.Int64N(int64(2*time.Second))), func() {
		for _, n := range path {
			s.runners[n].used -= perRunner
			if e.own[n] -= perRunner; e.own[n] < 1 {
				delete(e.own, n)
			}
		}
		q.end()
	})
}

// path returns a runner for each range of layers in a data centre, the emptiest of three, nil if one range has none.
func (e *siteEntry) path(centre int, tokens float64) (path []int) {
	s := e.site
	perRunner := tokens * siteLayers / groupRunners
	perCentre := len(s.runners) / s.centres
	for part := range groupRunners {
		best, bestUsed := -1, 0.0
		for range 3 {
			n := centre*perCentre + s.random.IntN(perCentre/groupRunners)*groupRunners + part
			r := s.runners[n]
			used := e.own[n]
			if s.now.Sub(r.reportedAt) < reportTTL {
				used += max(r.reported-e.ownAt[n], 0)
			}
			if !r.lost && used+perRunner <= runnerTokens && (best < 0 || used < bestUsed) {
				best, bestUsed = n, used
			}
		}
		if best < 0 {
			return nil
		}
		path = append(path, best)
	}
	return path
}

// reject ends an attempt that found no runner with room, as a refusal of today.
func (q *siteRequest) reject() {
	s := q.entry.site
	q.end()
	q.count(func(o *outcome) { o.rejected++ })
	left := q.Deadline.Sub(s.now)
	q.comeBack(time.Duration((0.05 + 0.05*s.random.Float64()) * float64(left)))
}

func (q *siteRequest) end() {
	if q.entry.site.filters {
		q.entry.admission.End(q.entry.site.now, q.decision)
		q.entry.collect()
	}
}
