package bergamotcapacity

import (
	"fmt"
	"time"
)

// Action is what happens with a request.
type Action int

// Actions for a request.
const (
	Admit  Action = iota // it is sent
	Wait                 // it waits
	Refuse               // it is refused
)

// Reason is why a request is admitted or refused.
type Reason string

// Reasons of decisions.
const (
	ReasonUrgent  Reason = "urgent"  // no request for the service is more urgent
	ReasonResumes Reason = "resumes" // the caller already has a part of the answer
	ReasonUnknown Reason = "unknown" // there is no estimate
	ReasonIdle    Reason = "idle"    // no more urgent requests are expected
	ReasonFits    Reason = "fits"    // there is room beside the reserve
	ReasonRoom    Reason = "room"    // there is none
	ReasonSize    Reason = "size"    // the request fits on no path
	ReasonQueue   Reason = "queue"   // too many requests wait
)

// Decision is the outcome for a request, with the figures that led to it.
type Decision struct {
	action  Action
	reason  Reason
	request Request
	charge  float64       // tokens that an admitted request takes from the share until it ends
	balance float64       // this entry's share of the free capacity, less what it has admitted since the estimate
	reserve float64       // part of it that more urgent requests are expected to need
	free    float64       // free capacity in all data centres
	age     time.Duration // of the latest report, negative for none
	waited  time.Duration
	maxWait time.Duration
}

// Action returns what happens with the request.
func (d Decision) Action() Action { return d.action }

// Reason returns why.
func (d Decision) Reason() Reason { return d.reason }

// Request returns the request, with its size within bounds.
func (d Decision) Request() Request { return d.request }

// Balance returns the entry's share of the free capacity in tokens, less what it has admitted since the estimate; it is
// negative while the entry has admitted more.
func (d Decision) Balance() float64 { return d.balance }

// Reserve returns the tokens that are kept free for more urgent requests.
func (d Decision) Reserve() float64 { return d.reserve }

// Free returns the tokens that fit in all data centres.
func (d Decision) Free() float64 { return d.free }

// Age returns the age of the latest report, negative if there was none.
func (d Decision) Age() time.Duration { return d.age }

// Waited returns how long the request has waited.
func (d Decision) Waited() time.Duration { return d.waited }

// MaxWait returns how long a request that waits may do so.
func (d Decision) MaxWait() time.Duration { return d.maxWait }

// overtakes reports whether a request is admitted before all that wait.
func (d Decision) overtakes() bool { return d.reason == ReasonUrgent || d.reason == ReasonResumes }

// String returns the decision on one line.
func (d Decision) String() string {
	action := map[Action]string{Admit: "admitted", Wait: "waits", Refuse: "refused"}[d.action]
	return fmt.Sprintf("%s (%s): priority %d, %.0f tokens, share %.0f, reserve %.0f, free %.0f, reports %d ms old, waited %d ms",
		action, d.reason, d.request.Priority, d.request.Tokens, d.balance, d.reserve, d.free, d.age.Milliseconds(), d.waited.Milliseconds())
}

// decide returns whether a request may be admitted now, with Wait if it may not. It changes nothing but the decay of the
// averages.
func (a *Admission) decide(now time.Time, r Request) Decision {
	d := Decision{action: Admit, request: r, age: -1}
	switch {
	case r.Priority <= r.MostUrgent:
		d.reason = ReasonUrgent
		return d
	case r.Resumes:
		d.reason = ReasonResumes
		return d
	case !a.estimate.IsKnown(now, a.thresholds.MaxReportAge):
		d.reason = ReasonUnknown
		return d
	}
	e := a.estimate
	d.balance, d.free, d.age = a.balance, e.free, e.Age(now)
	if e.capacity > 0 && r.Tokens > e.capacity {
		d.action, d.reason = Refuse, ReasonSize
		return d
	}
	demand := a.arrivals.moreUrgent(now, r.Priority) * a.thresholds.Horizon.Seconds()
	for _, w := range a.waitingBy[:r.Priority] {
		demand += w.tokens
	}
	if demand < a.thresholds.MinDemand*e.typical {
		d.reason = ReasonIdle
		return d
	}
	d.reserve = min(demand, a.thresholds.MaxReserveShare*max(a.balance, 0))
	if r.Tokens <= e.largest && (a.isIdle(e) || a.balance-a.room(r, e) >= d.reserve) {
		d.reason = ReasonFits
		return d
	}
	d.action, d.reason = Wait, ReasonRoom
	return d
}

// room returns the tokens that must be left of this entry's share beside the reserve. An admitted request is charged in full;
// before that it counts with its part of this entry only, since shares of many entries are smaller than a request while there
// is much room in all.
func (a *Admission) room(r Request, e *Estimate) float64 {
	return max(r.Tokens/float64(max(e.entries, 1)), a.thresholds.MinRoom*min(r.Tokens, e.typical))
}

// isIdle reports whether so much capacity is free that none has to be kept, and this entry has not admitted much more than its
// share of it.
func (a *Admission) isIdle(e *Estimate) bool {
	return a.thresholds.IdleShare > 0 && e.free >= a.thresholds.IdleShare*e.total && a.balance > -a.thresholds.BorrowShares*e.Share()
}
