package bergamotrate

import (
	"slices"
	"sync"
	"time"
)

// paceWindow is the time over which the requests that leave a queue with a runner are counted.
const paceWindow = 2 * time.Second

// Urgency orders the requests in a queue: those that go on with an answer first, then by priority, then by arrival.
type Urgency struct {
	Resumes  bool
	Priority int // 0 is the most urgent
	Arrived  time.Time
}

func (u Urgency) isBefore(v Urgency) bool {
	switch {
	case u.Resumes != v.Resumes:
		return u.Resumes
	case u.Priority != v.Priority:
		return u.Priority < v.Priority
	default:
		return u.Arrived.Before(v.Arrived)
	}
}

// Queue holds the requests of one service that wait because all runners that could serve them are at their limits. Only the first one tries
// to get a runner, so that none goes before a more urgent one. It may be used concurrently.
type Queue struct {
	Clock Clock

	mu       sync.Mutex
	tickets  []*Ticket // most urgent first
	served   []time.Time
	returnAt time.Time // when the last request that was refused has been told to return
}

// Ticket is the place of one request in a queue.
type Ticket struct {
	queue   *Queue
	urgency Urgency
	turn    chan struct{} // receives when the request becomes the first
}

// IsEmpty reports whether no request waits.
func (l *Queue) IsEmpty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.tickets) == 0
}

// Len returns how many requests wait.
func (l *Queue) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.tickets)
}

// Pace is how many requests a second the runners of a queue take.
type Pace struct {
	Known bool
	All   float64 // from all entries together
	Part  float64 // this entry's equal part
}

// Join adds a request unless it is expected to wait for longer than a bound. Then ok is false, and returnIn is the time after which it may
// return, behind all that wait and those that were told to return before it. While the pace is not known, the request is added.
func (l *Queue) Join(u Urgency, bound time.Duration, given Pace) (p *Ticket, returnIn time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	pace := l.pace(given)
	i, _ := slices.BinarySearchFunc(l.tickets, u, func(p *Ticket, u Urgency) int {
		if u.isBefore(p.urgency) {
			return 1
		}
		return -1
	})
	next := pace
	if i == 0 {
		next = given.All // nobody else may want the next one
	}
	if given.Known && float64(i+1) > next*bound.Seconds() {
		return nil, l.returnIn(pace), false
	}
	p = &Ticket{queue: l, urgency: u, turn: make(chan struct{}, 1)}
	l.tickets = slices.Insert(l.tickets, i, p)
	if i == 0 {
		p.turn <- struct{}{}
	}
	return p, 0, true
}

// ReturnIn returns the time after which a request that has waited in vain may return.
func (l *Queue) ReturnIn(given Pace) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.returnIn(l.pace(given))
}

// returnIn gives the next request that returns a time of its own. The caller holds the lock.
func (l *Queue) returnIn(pace float64) time.Duration {
	if pace <= 0 {
		return 0
	}
	now, each := l.Clock.Now(), time.Duration(float64(time.Second)/pace)
	first := now.Add(time.Duration(len(l.tickets)) * each)
	if first.After(l.returnAt) {
		l.returnAt = first
	}
	l.returnAt = l.returnAt.Add(each)
	return l.returnAt.Sub(now)
}

// pace returns how many requests a second leave the queue with a runner. The caller holds the lock.
func (l *Queue) pace(given Pace) float64 {
	now := l.Clock.Now()
	l.served = slices.DeleteFunc(l.served, func(t time.Time) bool { return now.Sub(t) > paceWindow })
	return max(float64(len(l.served))/paceWindow.Seconds(), given.Part)
}

// Turn returns a channel that receives when the request becomes the first.
func (p *Ticket) Turn() <-chan struct{} { return p.turn }

// IsFirst reports whether no other request goes before this one.
func (p *Ticket) IsFirst() bool {
	p.queue.mu.Lock()
	defer p.queue.mu.Unlock()
	return len(p.queue.tickets) > 0 && p.queue.tickets[0] == p
}

// Leave removes the request from the queue; served says whether it has got a runner.
func (p *Ticket) Leave(served bool) {
	l := p.queue
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.Index(l.tickets, p)
	if i < 0 {
		return
	}
	l.tickets = slices.Delete(l.tickets, i, i+1)
	if served {
		l.served = append(l.served, l.Clock.Now())
	}
	if i == 0 && len(l.tickets) > 0 {
		select {
		case l.tickets[0].turn <- struct{}{}:
		default: // it has been told before
		}
	}
}
