package bergamotcapacity

import (
	"sync"
	"time"

	"bergamotspur/core/bergamotqueue"
)

const (
	// agingPeriod is the time of waiting that raises a request by one step in the queue. A priority has two steps: requests
	// that can still meet their target latency go before those that cannot.
	agingPeriod     = 500 * time.Millisecond
	stepsOfPriority = int(time.Second / agingPeriod)
	// maxTokens bounds the size that a request may claim; callers may claim any.
	maxTokens = 1e7
)

// Request is what an admission decides about.
type Request struct {
	Workspace  string
	Priority   int // from 0 to 9, 0 is the most urgent
	MostUrgent int // priority of the most urgent requests that the service can get
	Tokens     float64
	Resumes    bool // the caller already has a part of the answer
	Arrived    time.Time
	// TargetLatency is the time from the arrival in which the answer has to begin to be on time, 0 for none.
	TargetLatency time.Duration
	Deadline      time.Time // when the caller gives up, zero for never
}

// Admission decides which requests for one service an entry sends at once, which wait and which are refused. It may be used
// concurrently.
type Admission struct {
	thresholds Thresholds

	mu        sync.Mutex
	estimate  *Estimate
	inFlight  float64 // tokens of the admitted requests that have not ended
	count     int     // the same in requests
	balance   float64 // share of this entry minus what it has admitted since the estimate
	arrivals  rates
	ends      rates // of all priorities together, kept under priority 0
	queue     *bergamotqueue.FairQueue
	waiting   map[*bergamotqueue.Job]*Ticket
	waitingBy [priorities]levelWaiting
	returns   [priorities]time.Time // when the capacity is free that callers were told to return for
	stats     [priorities]Level
	last      Decision
}

// levelWaiting is what waits with one priority.
type levelWaiting struct {
	count  int
	tokens float64
}

// Ticket is a request that waits.
type Ticket struct {
	request  Request
	since    time.Time
	job      *bergamotqueue.Job
	granted  chan struct{} // closed when the request is admitted or has been pushed out
	decision Decision      // set before granted is closed
}

// Granted returns a channel that is closed when the wait has ended.
func (t *Ticket) Granted() <-chan struct{} { return t.granted }

// Decision returns the outcome, valid once Granted is closed.
func (t *Ticket) Decision() Decision { return t.decision }

// NewAdmission returns an admission without an estimate, which admits every request.
func NewAdmission(t Thresholds) *Admission {
	return &Admission{
		thresholds: t, arrivals: rates{window: t.RateWindow}, ends: rates{window: t.RateWindow},
		queue: bergamotqueue.NewFairQueue(agingPeriod), waiting: map[*bergamotqueue.Job]*Ticket{},
	}
}

// Arrive decides about a new request. If it has to wait, the ticket is not nil, and the caller calls Expire or Cancel unless
// the ticket is granted before. Each admitted request is ended with End.
func (a *Admission) Arrive(now time.Time, r Request) (d Decision, t *Ticket) {
	r.Priority, r.Tokens = min(max(r.Priority, 0), priorities-1), min(finite(r.Tokens), maxTokens)
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.Tokens == 0 && a.estimate != nil {
		r.Tokens = a.estimate.typical // the caller did not say
	}
	a.arrivals.add(now, r.Priority, a.charge(r))
	d = a.decide(now, r)
	if d.action == Admit && (a.queue.Len() == 0 || d.overtakes()) {
		a.admit(&d)
		return d, nil
	}
	if d.action != Refuse {
		if t = a.enqueue(now, r); t != nil {
			a.grant(now)
			select {
			case <-t.granted:
				return t.decision, nil
			default:
			}
			d.action, d.reason = Wait, ReasonRoom
			d.maxWait = a.maxWait(now, r)
			a.stats[r.Priority].waited++
			a.last = d
			return d, t
		}
		d.action, d.reason = Refuse, ReasonQueue
	}
	a.refuse(&d)
	return d, nil
}

// Expire ends the wait of a request at its bound. It is admitted if the estimate is no longer known, and refused otherwise.
func (a *Admission) Expire(now time.Time, t *Ticket) Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t.job == nil {
		return t.decision
	}
	a.remove(t)
	defer a.grant(now) // requests behind it may fit
	d := a.decide(now, t.request)
	d.waited = now.Sub(t.since)
	if d.action == Admit {
		a.admit(&d)
		return d
	}
	d.action = Refuse
	a.refuse(&d)
	return d
}

// Cancel ends the wait of a request whose caller no longer waits for it. A request that was admitted at the same time counts as
// ended.
func (a *Admission) Cancel(now time.Time, t *Ticket) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t.job != nil {
		a.remove(t)
		a.stats[t.request.Priority].left++
		a.grant(now) // requests behind it may fit
		return
	}
	if t.decision.action == Admit {
		a.release(t.decision.charge)
		a.grant(now)
	}
}

// End records that an admitted request has ended and admits what then fits.
func (a *Admission) End(now time.Time, d Decision) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ends.add(now, 0, d.charge)
	a.release(d.charge)
	a.grant(now)
}

// Publish puts an estimate in force and admits what then fits.
func (a *Admission) Publish(now time.Time, e *Estimate) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.estimate = e
	// Requests that are admitted but have no path yet are not in the memory that this entry uses.
	a.balance = e.Share() - e.growth - max(a.inFlight-e.own, 0)
	a.grant(now)
}

// EstimatedAt returns when the estimate in force was made, the zero time if there is none.
func (a *Admission) EstimatedAt() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.estimate == nil {
		return time.Time{}
	}
	return a.estimate.at
}

// charge returns the tokens that a request takes from the share: none if it fits on no path, since no runner will run it.
func (a *Admission) charge(r Request) float64 {
	if a.estimate != nil && a.estimate.capacity > 0 && r.Tokens > a.estimate.capacity {
		return 0
	}
	return r.Tokens
}

// enqueue adds a request to the queue, or returns nil if the queue is full of requests of workspaces with no more waiting
// than this one has.
func (a *Admission) enqueue(now time.Time, r Request) *Ticket {
	if a.queue.Len() >= a.thresholds.MaxWaiting && !a.pushOut(now, r) {
		return nil
	}
	class, step := bergamotqueue.ClassShort, -stepsOfPriority*r.Priority
	if a.estimate != nil && r.Tokens > a.thresholds.LargeFactor*a.estimate.typical {
		class = bergamotqueue.ClassLong
	}
	if r.TargetLatency > 0 && now.Sub(r.Arrived) >= r.TargetLatency {
		step--
	}
	t := &Ticket{request: r, since: now, granted: make(chan struct{})}
	t.job = bergamotqueue.NewJob(bergamotqueue.Spec{Workspace: r.Workspace, Weight: 1, Priority: step, Class: class, Cost: max(r.Tokens, 1), Arrived: now})
	a.queue.Push(t.job)
	a.waiting[t.job] = t
	w := &a.waitingBy[r.Priority]
	w.count++
	w.tokens += r.Tokens
	return t
}

// pushOut refuses the newest request of the workspace with the most waiting, and reports whether that made room for r.
func (a *Admission) pushOut(now time.Time, r Request) bool {
	victim, cost := a.queue.EvictionCandidate()
	if victim == nil || a.queue.WeightedCost(r.Workspace, 1)+max(r.Tokens, 1) >= cost {
		return false
	}
	t := a.waiting[victim]
	a.remove(t)
	t.decision = a.decide(now, t.request)
	t.decision.action, t.decision.reason, t.decision.waited = Refuse, ReasonQueue, now.Sub(t.since)
	a.refuse(&t.decision)
	close(t.granted)
	return true
}

// remove takes a waiting request from the queue.
func (a *Admission) remove(t *Ticket) {
	a.queue.Remove(t.job)
	a.queue.Refund(t.job)
	a.forget(t)
}

// forget removes the records of a request that has left the queue.
func (a *Admission) forget(t *Ticket) {
	delete(a.waiting, t.job)
	t.job = nil
	w := &a.waitingBy[t.request.Priority]
	w.count--
	w.tokens -= t.request.Tokens
	if w.count == 0 {
		w.tokens = 0 // resets accumulated rounding errors
	}
}

// grant admits waiting requests in order while they fit.
func (a *Admission) grant(now time.Time) {
	for a.queue.Len() > 0 {
		t, class := a.next(now)
		if t == nil {
			return
		}
		a.queue.Pop(class, now)
		a.forget(t)
		t.decision = a.decide(now, t.request)
		t.decision.waited = now.Sub(t.since)
		a.admit(&t.decision)
		close(t.granted)
	}
}

// next returns the first waiting request in the order of the queue that may be admitted. A large request that does not fit
// does not hold up small ones, and the other way round.
func (a *Admission) next(now time.Time) (next *Ticket, class bergamotqueue.Class) {
	best := 0
	for _, c := range []bergamotqueue.Class{bergamotqueue.ClassShort, bergamotqueue.ClassLong} {
		j, waited := a.queue.Peek(c, now)
		if j == nil {
			continue
		}
		t, step := a.waiting[j], j.Priority()+int(waited/agingPeriod)
		if next != nil && (step < best || step == best && !t.since.Before(next.since)) {
			continue
		}
		if a.decide(now, t.request).action == Admit {
			next, class, best = t, c, step
		}
	}
	return next, class
}

// admit records that a request is sent.
func (a *Admission) admit(d *Decision) {
	d.action, d.charge = Admit, a.charge(d.request)
	a.inFlight += d.charge
	a.count++
	a.balance -= d.charge
	a.stats[d.request.Priority].admitted++
	a.last = *d
}

// refuse records that a request is refused.
func (a *Admission) refuse(d *Decision) {
	s := &a.stats[d.request.Priority]
	switch d.reason {
	case ReasonSize:
		s.refusedSize++
	case ReasonQueue:
		s.refusedQueue++
	default:
		s.refusedRoom++
	}
	a.last = *d
}

// release returns the tokens of an admitted request.
func (a *Admission) release(tokens float64) {
	a.balance += tokens
	a.inFlight -= tokens
	if a.count--; a.count == 0 {
		a.inFlight = 0 // resets accumulated rounding errors
	}
}

// maxWait returns how long a request may wait.
func (a *Admission) maxWait(now time.Time, r Request) time.Duration {
	d := a.thresholds.MaxWait
	if r.TargetLatency > 0 {
		d = min(d, time.Duration(a.thresholds.WaitShare*float64(r.TargetLatency)))
	}
	if !r.Deadline.IsZero() {
		d = min(d, r.Deadline.Sub(now))
	}
	return max(d, 0)
}
