package bergamotcapacity_test

import (
	"time"

	"bergamotspur/core/bergamotcapacity"
)

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
