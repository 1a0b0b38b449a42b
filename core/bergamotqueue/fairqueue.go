package bergamotqueue

import (
	"container/heap"
	"slices"
	"time"
)

// FairQueue is a weighted fair queue over workspaces, with priorities and two size classes. It is not safe for
// concurrent use.
//
// It uses start-time fair queueing: the virtual start of a job is the later of the virtual time of the queue and the
// virtual finish of the previous job of its workspace. A job lasts its cost divided by the weight of its workspace.
type FairQueue struct {
	agingPeriod   time.Duration
	virtualTime   float64 // advances to the virtual start of each popped job
	count         int     // waiting jobs
	cost          float64 // expected tokens of the waiting jobs
	waitingWeight float64 // sum of the weights of the workspaces with waiting jobs
	accounts      map[string]*account
	active        map[*account]string // workspaces with waiting jobs
	flows         map[flowKey]*flow
	levels        [classCount]map[int]*flowHeap // by class and priority
}

// NewFairQueue returns an empty queue; each agingPeriod of waiting raises the priority of a job by one.
func NewFairQueue(agingPeriod time.Duration) *FairQueue {
	f := &FairQueue{agingPeriod: agingPeriod, accounts: map[string]*account{}, active: map[*account]string{}, flows: map[flowKey]*flow{}}
	for c := range f.levels {
		f.levels[c] = map[int]*flowHeap{}
	}
	return f
}

// Len returns the number of waiting jobs.
func (f *FairQueue) Len() int { return f.count }

// Cost returns the expected tokens of the waiting jobs.
func (f *FairQueue) Cost() float64 { return f.cost }

// Push adds a job to the queue.
func (f *FairQueue) Push(j *Job) {
	a := f.account(j.spec.Workspace)
	if a.waiting == 0 {
		a.weight = j.spec.Weight
		f.waitingWeight += a.weight
	}
	j.waiting = true
	j.virtualStart = max(f.virtualTime, a.virtualFinish)
	a.virtualFinish = j.virtualStart + j.spec.Cost/a.weight
	a.waiting++
	a.cost += j.spec.Cost
	f.active[a] = j.spec.Workspace
	f.count++
	f.cost += j.spec.Cost
	k := flowKey{j.spec.Workspace, j.spec.Class, j.spec.Priority}
	q, ok := f.flows[k]
	if !ok {
		q = &flow{key: k}
		f.flows[k] = q
	}
	q.jobs = append(q.jobs, j)
	if len(q.jobs) == 1 {
		h, ok := f.levels[k.class][k.priority]
		if !ok {
			h = &flowHeap{}
			f.levels[k.class][k.priority] = h
		}
		heap.Push(h, q)
	}
}

// Pop removes and returns the next job of a class, or nil if there is none.
func (f *FairQueue) Pop(c Class, now time.Time) *Job {
	j, _ := f.Peek(c, now)
	if j == nil {
		return nil
	}
	f.Remove(j)
	f.virtualTime = max(f.virtualTime, j.virtualStart)
	return j
}

// Peek returns the next job of a class, or nil if there is none, and how long it has waited. Waiting raises the
// priority, so that jobs of low priority are not starved. Between equal jobs the one of the higher priority is next, so that
// Pop removes the job that Peek has returned.
func (f *FairQueue) Peek(c Class, now time.Time) (next *Job, waited time.Duration) {
	bestPriority := 0 // with what waiting adds
	for priority, h := range f.levels[c] {
		if h.Len() == 0 {
			continue
		}
		j := (*h)[0].jobs[0]
		agedPriority := priority + int(now.Sub(j.spec.Arrived)/f.agingPeriod)
		isEarlier := func() bool {
			if j.virtualStart == next.virtualStart {
				return priority > next.spec.Priority
			}
			return j.virtualStart < next.virtualStart
		}
		if next == nil || agedPriority > bestPriority || agedPriority == bestPriority && isEarlier() {
			next, bestPriority = j, agedPriority
		}
	}
	if next == nil {
		return nil, 0
	}
	return next, now.Sub(next.spec.Arrived)
}

// Remove removes a job from the queue if it is waiting.
func (f *FairQueue) Remove(j *Job) {
	if !j.waiting {
		return
	}
	j.waiting = false
	k := flowKey{j.spec.Workspace, j.spec.Class, j.spec.Priority}
	q := f.flows[k]
	h := f.levels[k.class][k.priority]
	n := slices.Index(q.jobs, j)
	q.jobs[n] = nil
	switch {
	case len(q.jobs) == 1:
		q.jobs[0] = j // heap.Remove compares the first jobs of flows
		heap.Remove(h, q.heapIndex)
		delete(f.flows, k)
	case n == 0:
		q.jobs = q.jobs[1:]
		heap.Fix(h, q.heapIndex)
	default:
		q.jobs = slices.Delete(q.jobs, n, n+1)
	}
	a := f.account(j.spec.Workspace)
	a.waiting--
	a.cost -= j.spec.Cost
	f.count--
	f.cost -= j.spec.Cost
	if a.waiting == 0 {
		delete(f.active, a)
		f.waitingWeight -= a.weight
	}
	if f.count == 0 {
		f.waitingWeight, f.cost = 0, 0 // resets accumulated rounding errors
	}
	f.dropIdleAccounts()
}

// Refund credits the workspace of a job that did not run with the cost of the job.
func (f *FairQueue) Refund(j *Job) { f.Charge(j, -j.spec.Cost) }

// Charge charges the workspace of a job for tokens beyond the expected ones; a negative number is a credit.
func (f *FairQueue) Charge(j *Job, tokens float64) {
	f.account(j.spec.Workspace).virtualFinish += tokens / j.spec.Weight
}

// CostAhead returns the expected tokens that are served before a new job of a workspace: those of all waiting jobs, or
// fewer if the workspace has less waiting than its share.
func (f *FairQueue) CostAhead(workspace string, weight float64) float64 {
	a, ok := f.accounts[workspace]
	if !ok || a.waiting == 0 {
		// The job is served in the next round, together with one job of each other workspace.
		return f.cost / max(float64(f.count), 1) * float64(len(f.active))
	}
	return min(f.cost, a.cost*f.waitingWeight/weight)
}

// EvictionCandidate returns the newest job of the workspace with the largest waiting cost divided by its weight, and
// that quotient.
func (f *FairQueue) EvictionCandidate() (j *Job, weightedCost float64) {
	var name string
	for a, n := range f.active {
		if l := a.cost / a.weight; l > weightedCost || l == weightedCost && n < name {
			name, weightedCost = n, l
		}
	}
	for k, q := range f.flows {
		if last := q.jobs[len(q.jobs)-1]; k.workspace == name && (j == nil || last.virtualStart > j.virtualStart) {
			j = last
		}
	}
	return j, weightedCost
}

// WeightedCost returns the expected tokens of the waiting jobs of a workspace divided by weight.
func (f *FairQueue) WeightedCost(workspace string, weight float64) float64 {
	if a, ok := f.accounts[workspace]; ok {
		return a.cost / weight
	}
	return 0
}

func (f *FairQueue) account(name string) *account {
	a, ok := f.accounts[name]
	if !ok {
		a = &account{virtualFinish: f.virtualTime}
		f.accounts[name] = a
	}
	return a
}

// maxIdleAccounts is the number of idle accounts that are kept before those without remaining debt are dropped.
const maxIdleAccounts = 1024

func (f *FairQueue) dropIdleAccounts() {
	if len(f.accounts) <= 2*len(f.active)+maxIdleAccounts {
		return
	}
	for name, a := range f.accounts {
		if a.waiting == 0 && a.virtualFinish <= f.virtualTime {
			delete(f.accounts, name)
		}
	}
}
