package bergamotqueue

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Errors of Enter; the job did not run.
var (
	ErrFull     = errors.New("the queue is full")
	ErrDeadline = errors.New("the deadline cannot be met")
)

// Clock tells the time and wakes a waiter.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// Pace is the capacity of an entry for one model.
type Pace struct {
	Slots  float64       // jobs that may run at the same time
	Token  time.Duration // time of one token in a full batch
	Room   float64       // share of the slots that long jobs may not use
	Margin float64       // factor on the expected wait when it is compared with the deadline
}

// Gate grants slots to jobs in the order of a fair queue.
type Gate struct {
	clock Clock
	most  int
	age   time.Duration

	mu      sync.Mutex
	pace    Pace
	fair    *Fair
	running [classes]int
}

// NewGate returns a gate whose queue holds at most the given number of jobs; a job that has waited for age goes
// before those of other classes and counts as one priority higher.
func NewGate(c Clock, most int, age time.Duration) *Gate {
	return &Gate{clock: c, most: most, age: age, fair: NewFair(age), pace: Pace{Slots: 1}}
}

// SetPace changes the capacity.
func (g *Gate) SetPace(p Pace) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p.Slots = max(p.Slots, 1)
	g.pace = p
	g.grant()
}

// Enter waits for a slot. It fails with ErrFull or ErrDeadline, or with the error of ctx, and then the job did not
// run. After success the caller must call Leave.
func (g *Gate) Enter(ctx context.Context, j *Job) error {
	if err := g.Ask(j); err != nil {
		return err
	}
	select {
	case err := <-j.granted:
		return err
	default:
	}
	select {
	case err := <-j.granted:
		return err
	case <-ctx.Done():
		return g.giveUp(j, ctx.Err())
	case <-g.clock.After(j.spec.Latest.Sub(g.clock.Now())):
		return g.giveUp(j, ErrDeadline)
	}
}

// Ask queues a job without waiting. It fails with ErrFull or ErrDeadline.
func (g *Gate) Ask(j *Job) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.late(j) {
		return ErrDeadline
	}
	if g.fair.Len() >= g.most && !g.direct(j) {
		if err := g.evict(j); err != nil {
			return err
		}
	}
	g.fair.Push(j)
	g.grant()
	return nil
}

// Granted returns a channel that receives nil when a job that was asked for may run, or why it may not.
func (g *Gate) Granted(j *Job) <-chan error { return j.granted }

// Leave frees the slot of a job that generated tokens.
func (g *Gate) Leave(j *Job, tokens float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running[j.spec.Class]--
	g.fair.Charge(j, tokens-j.spec.Cost)
	g.grant()
}

// Overrun moves a running job that is longer than expected to the long class, so that it does not take the room of
// short ones.
func (g *Gate) Overrun(j *Job) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if j.spec.Class == ClassLong {
		return
	}
	g.running[j.spec.Class]--
	j.spec.Class = ClassLong
	g.running[j.spec.Class]++
	g.grant()
}

// Waiting returns how many jobs wait.
func (g *Gate) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fair.Len()
}

// Running returns how many jobs run.
func (g *Gate) Running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running[ClassShort] + g.running[ClassLong]
}

// late tells whether a new job is expected to start after its latest time.
func (g *Gate) late(j *Job) bool {
	now := g.clock.Now()
	if now.After(j.spec.Latest) {
		return true
	}
	if g.direct(j) {
		return false
	}
	slots := g.pace.Slots
	if j.spec.Class == ClassLong {
		slots = max(slots*(1-g.pace.Room), 1)
	}
	wait := g.fair.Ahead(j.spec.Workspace, j.spec.Weight) * float64(g.pace.Token) / slots * g.pace.Margin
	return wait > float64(j.spec.Latest.Sub(now))
}

// direct tells whether a new job gets a slot without waiting.
func (g *Gate) direct(j *Job) bool {
	waiting, _ := g.fair.Peek(j.spec.Class, g.clock.Now())
	return waiting == nil && g.free(j.spec.Class)
}

// evict makes room for a job of a workspace that waits with less than the largest one.
func (g *Gate) evict(j *Job) error {
	victim, load := g.fair.Largest()
	if victim == nil || g.fair.Load(j.spec.Workspace, j.spec.Weight)+j.spec.Cost/j.spec.Weight >= load {
		return ErrFull
	}
	g.drop(victim, ErrFull)
	return nil
}

func (g *Gate) drop(j *Job, err error) {
	g.fair.Remove(j)
	g.fair.Refund(j)
	j.granted <- err
}

// giveUp ends the wait of a job; a slot that was granted at the same time goes to the next one.
func (g *Gate) giveUp(j *Job, err error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if j.waiting {
		g.fair.Remove(j)
		g.fair.Refund(j)
		return err
	}
	if granted := <-j.granted; granted != nil {
		return granted
	}
	g.running[j.spec.Class]--
	g.fair.Refund(j)
	g.grant()
	return err
}

// free tells whether a job of a class may start. Long jobs leave room for short ones on targets that batch
// continuously, but at least one may always run.
func (g *Gate) free(c Class) bool {
	all := float64(g.running[ClassShort] + g.running[ClassLong])
	if c == ClassShort {
		return all+1 <= g.pace.Slots
	}
	room := g.pace.Room * g.pace.Slots
	return all+1 <= g.pace.Slots && (g.running[ClassLong] == 0 || float64(g.running[ClassLong])+1 <= g.pace.Slots-room)
}

// grant gives free slots to waiting jobs; those that can no longer meet their deadline are dropped.
func (g *Gate) grant() {
	now := g.clock.Now()
	for g.fair.Len() > 0 {
		c, ok := g.next(now)
		if !ok {
			return
		}
		j := g.fair.Pop(c, now)
		if now.After(j.spec.Latest) {
			g.fair.Refund(j)
			j.granted <- ErrDeadline
			continue
		}
		g.running[c]++
		j.granted <- nil
	}
}

// next returns the class to serve: short, unless the next long job has waited for the age.
func (g *Gate) next(now time.Time) (c Class, ok bool) {
	long, waited := g.fair.Peek(ClassLong, now)
	short, _ := g.fair.Peek(ClassShort, now)
	switch {
	case long != nil && g.free(ClassLong) && (short == nil || waited >= g.age):
		return ClassLong, true
	case short != nil && g.free(ClassShort):
		return ClassShort, true
	default:
		return 0, false
	}
}
