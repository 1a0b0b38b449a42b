package bergamotcapacity

import "time"

// Level is what happened with the requests of one priority.
type Level struct {
	priority, waiting                      int
	reserve                                float64
	admitted, waited, left                 int64
	refusedRoom, refusedSize, refusedQueue int64
}

// Priority returns the priority.
func (l Level) Priority() int { return l.priority }

// Waiting returns the number of requests that wait now.
func (l Level) Waiting() int { return l.waiting }

// Reserve returns the tokens that are kept free for more urgent requests.
func (l Level) Reserve() float64 { return l.reserve }

// Admitted returns the number of requests that were admitted.
func (l Level) Admitted() int64 { return l.admitted }

// Waited returns the number of requests that have waited or do so.
func (l Level) Waited() int64 { return l.waited }

// Left returns the number of requests that left the queue because their caller no longer waited.
func (l Level) Left() int64 { return l.left }

// Refused returns the number of requests that were refused for a reason.
func (l Level) Refused(r Reason) int64 {
	switch r {
	case ReasonRoom:
		return l.refusedRoom
	case ReasonSize:
		return l.refusedSize
	case ReasonQueue:
		return l.refusedQueue
	default:
		return 0
	}
}

// Status is the state of an admission.
type Status struct {
	estimate *Estimate
	known    bool
	balance  float64
	inFlight float64
	levels   []Level
	last     Decision
}

// Estimate returns the estimate in force, nil if there is none.
func (s Status) Estimate() *Estimate { return s.estimate }

// Known reports whether the estimate is used.
func (s Status) Known() bool { return s.known }

// Balance returns the entry's share of the free capacity in tokens, less what it has admitted since the estimate.
func (s Status) Balance() float64 { return s.balance }

// InFlight returns the tokens of the requests that this entry has admitted and that have not ended.
func (s Status) InFlight() float64 { return s.inFlight }

// Levels returns the priorities with requests so far, the most urgent first.
func (s Status) Levels() []Level { return s.levels }

// Last returns the last decision.
func (s Status) Last() Decision { return s.last }

// Status returns the state at a time.
func (a *Admission) Status(now time.Time) Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := Status{estimate: a.estimate, known: a.estimate.IsKnown(now, a.thresholds.MaxReportAge), balance: a.balance, inFlight: a.inFlight, last: a.last}
	for p, l := range a.stats {
		l.priority, l.waiting = p, a.waitingBy[p].count
		if l.admitted+l.waited+l.left+l.refusedRoom+l.refusedSize+l.refusedQueue == 0 {
			continue
		}
		l.reserve = min(a.arrivals.moreUrgent(now, p)*a.thresholds.Horizon.Seconds(), a.thresholds.MaxReserveShare*max(a.balance, 0))
		s.levels = append(s.levels, l)
	}
	return s
}
