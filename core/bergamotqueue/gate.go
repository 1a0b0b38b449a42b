package bergamotqueue

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Errors of Enter and Submit; the job did not run.
var (
	ErrFull     = errors.New("the queue is full")
	ErrDeadline = errors.New("the deadline cannot be met")
)

// Clock returns the current time and timers.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// EntryCapacity is the capacity that an entry has for one model.
type EntryCapacity struct {
	Slots        float64       // number of jobs that may run at the same time
	TokenTime    time.Duration // time per token of each job when all slots are in use
	ShortReserve float64       // fraction of the slots that long jobs may not use
	Margin       float64       // factor on the expected wait before it is compared with the latest start
}

// Gate grants slots to jobs in the order of a fair queue.
type Gate struct {
	clock       Clock
	maxWaiting  int
	agingPeriod time.Duration

	mu       sync.Mutex
	capacity EntryCapacity
	queue    *FairQueue
	running  [classCount]int
}

// NewGate returns a gate whose queue holds at most maxWaiting jobs. Each agingPeriod of waiting raises the priority of
// a job by one, and a long job that has waited for one agingPeriod precedes short jobs.
func NewGate(c Clock, maxWaiting int, agingPeriod time.Duration) *Gate {
	return &Gate{clock: c, maxWaiting: maxWaiting, agingPeriod: agingPeriod, queue: NewFairQueue(agingPeriod), capacity: EntryCapacity{Slots: 1}}
}

// SetCapacity sets the capacity, with at least one slot, and grants slots that became free.
func (g *Gate) SetCapacity(p EntryCapacity) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p.Slots = max(p.Slots, 1)
	g.capacity = p
	g.grant()
}

// Enter waits for a slot. It returns ErrFull, ErrDeadline or the error of ctx if the job did not run. After a nil error
// the caller must call Leave.
func (g *Gate) Enter(ctx context.Context, j *Job) error {
	if err := g.Submit(j); err != nil {
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
		return g.abandon(j, ctx.Err())
	case <-g.clock.After(j.spec.LatestStart.Sub(g.clock.Now())):
		return g.abandon(j, ErrDeadline)
	}
}

// Submit queues a job and returns without waiting. It returns ErrFull or ErrDeadline if the job was not queued.
func (g *Gate) Submit(j *Job) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isTooLate(j) {
		return ErrDeadline
	}
	if g.queue.Len() >= g.maxWaiting && !g.canStartNow(j) {
		if err := g.evict(j); err != nil {
			return err
		}
	}
	g.queue.Push(j)
	g.grant()
	return nil
}

// Granted returns a channel that receives nil once a submitted job may run, or the reason why it was dropped.
func (g *Gate) Granted(j *Job) <-chan error { return j.granted }

// Leave frees the slot of a job and charges its workspace for the tokens that it generated.
func (g *Gate) Leave(j *Job, tokens float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running[j.spec.Class]--
	g.queue.Charge(j, tokens-j.spec.Cost)
	g.grant()
}

// MarkLong moves a running job that turned out longer than expected to the long class, so that it does not use the
// reserve of short jobs.
func (g *Gate) MarkLong(j *Job) {
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

// Waiting returns the number of waiting jobs.
func (g *Gate) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Len()
}

// Running returns the number of running jobs.
func (g *Gate) Running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running[ClassShort] + g.running[ClassLong]
}

// isTooLate reports whether a new job is expected to start after its latest start time.
func (g *Gate) isTooLate(j *Job) bool {
	now := g.clock.Now()
	if now.After(j.spec.LatestStart) {
		return true
	}
	if g.canStartNow(j) {
		return false
	}
	slots := g.capacity.Slots
	if j.spec.Class == ClassLong {
		slots = max(slots*(1-g.capacity.ShortReserve), 1)
	}
	wait := g.queue.CostAhead(j.spec.Workspace, j.spec.Weight) * float64(g.capacity.TokenTime) / slots * g.capacity.Margin
	return wait > float64(j.spec.LatestStart.Sub(now))
}

// canStartNow reports whether a new job would get a slot without waiting.
func (g *Gate) canStartNow(j *Job) bool {
	waiting, _ := g.queue.Peek(j.spec.Class, g.clock.Now())
	return waiting == nil && g.hasFreeSlot(j.spec.Class)
}

// evict drops a waiting job of the workspace with the largest weighted cost. It fails with ErrFull if the workspace of
// j would reach that cost itself.
func (g *Gate) evict(j *Job) error {
	victim, weightedCost := g.queue.EvictionCandidate()
	if victim == nil || g.queue.WeightedCost(j.spec.Workspace, j.spec.Weight)+j.spec.Cost/j.spec.Weight >= weightedCost {
		return ErrFull
	}
	g.drop(victim, ErrFull)
	return nil
}

func (g *Gate) drop(j *Job, err error) {
	g.queue.Remove(j)
	g.queue.Refund(j)
	j.granted <- err
}

// abandon ends the wait of a job; if it was granted a slot at the same time, the slot is passed on.
func (g *Gate) abandon(j *Job, err error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if j.waiting {
		g.queue.Remove(j)
		g.queue.Refund(j)
		return err
	}
	if granted := <-j.granted; granted != nil {
		return granted
	}
	g.running[j.spec.Class]--
	g.queue.Refund(j)
	g.grant()
	return err
}

// hasFreeSlot reports whether a job of a class may start. Long jobs leave the reserve to short ones on targets that
// batch continuously, but one long job may always run if a slot is free.
func (g *Gate) hasFreeSlot(c Class) bool {
	total := float64(g.running[ClassShort] + g.running[ClassLong])
	if c == ClassShort {
		return total+1 <= g.capacity.Slots
	}
	reserved := g.capacity.ShortReserve * g.capacity.Slots
	return total+1 <= g.capacity.Slots && (g.running[ClassLong] == 0 || float64(g.running[ClassLong])+1 <= g.capacity.Slots-reserved)
}

// grant grants free slots to waiting jobs and drops those that can no longer meet their deadline.
func (g *Gate) grant() {
	now := g.clock.Now()
	for g.queue.Len() > 0 {
		c, ok := g.nextClass(now)
		if !ok {
			return
		}
		j := g.queue.Pop(c, now)
		if now.After(j.spec.LatestStart) {
			g.queue.Refund(j)
			j.granted <- ErrDeadline
			continue
		}
		g.running[c]++
		j.granted <- nil
	}
}

// nextClass returns the class of the next job to grant: short, unless the next long job has waited for agingPeriod.
func (g *Gate) nextClass(now time.Time) (c Class, ok bool) {
	long, waited := g.queue.Peek(ClassLong, now)
	short, _ := g.queue.Peek(ClassShort, now)
	switch {
	case long != nil && g.hasFreeSlot(ClassLong) && (short == nil || waited >= g.agingPeriod):
		return ClassLong, true
	case short != nil && g.hasFreeSlot(ClassShort):
		return ClassShort, true
	default:
		return 0, false
	}
}
