package bergamotqueue

import (
	"container/heap"
	"slices"
	"time"
)

// Fair is a weighted fair queue between workspaces with priorities and two size classes. It is not safe for
// concurrent use.
//
// Start-time fair queueing: a job's virtual start is the later of the queue's virtual time and the end of what its
// workspace has asked for before, and its length is its cost divided by the weight.
type Fair struct {
	age      time.Duration
	now      float64 // virtual time
	count    int
	cost     float64
	weights  float64 // of the workspaces that wait
	accounts map[string]*account
	active   map[*account]string
	flows    map[flowKey]*flow
	levels   [classes]map[int]*level
}

// NewFair returns an empty queue; a job that has waited for age counts as one priority higher.
func NewFair(age time.Duration) *Fair {
	f := &Fair{age: age, accounts: map[string]*account{}, active: map[*account]string{}, flows: map[flowKey]*flow{}}
	for c := range f.levels {
		f.levels[c] = map[int]*level{}
	}
	return f
}

// Len returns the number of waiting jobs.
func (f *Fair) Len() int { return f.count }

// Cost returns the expected tokens of the waiting jobs.
func (f *Fair) Cost() float64 { return f.cost }

// Push adds a job.
func (f *Fair) Push(j *Job) {
	a := f.account(j.spec.Workspace)
	if a.waiting == 0 {
		a.weight = j.spec.Weight
		f.weights += a.weight
	}
	j.waiting = true
	j.tag = max(f.now, a.finish)
	a.finish = j.tag + j.spec.Cost/a.weight
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
			h = &level{}
			f.levels[k.class][k.priority] = h
		}
		heap.Push(h, q)
	}
}

// Pop removes and returns the next job of a class, nil when there is none.
func (f *Fair) Pop(c Class, now time.Time) *Job {
	j, _ := f.Peek(c, now)
	if j == nil {
		return nil
	}
	f.Remove(j)
	f.now = max(f.now, j.tag)
	return j
}

// Peek returns the next job of a class and how long it has waited. Waiting raises the priority, so that a low one is
// served in the end.
func (f *Fair) Peek(c Class, now time.Time) (next *Job, waited time.Duration) {
	best := 0
	for priority, h := range f.levels[c] {
		if h.Len() == 0 {
			continue
		}
		j := (*h)[0].jobs[0]
		rank := priority + int(now.Sub(j.spec.Arrived)/f.age)
		if next == nil || rank > best || rank == best && j.tag < next.tag {
			next, best = j, rank
		}
	}
	if next == nil {
		return nil, 0
	}
	return next, now.Sub(next.spec.Arrived)
}

// Remove takes a waiting job out of the queue.
func (f *Fair) Remove(j *Job) {
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
		q.jobs[0] = j // the heap compares first jobs while it removes the flow
		heap.Remove(h, q.pos)
		delete(f.flows, k)
	case n == 0:
		q.jobs = q.jobs[1:]
		heap.Fix(h, q.pos)
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
		f.weights -= a.weight
	}
	if f.count == 0 {
		f.weights, f.cost = 0, 0 // ends the drift of rounding
	}
	f.sweep()
}

// Refund returns the share of a job that did not run.
func (f *Fair) Refund(j *Job) { f.Charge(j, -j.spec.Cost) }

// Charge adds tokens beyond the expected ones to what the job's workspace has used.
func (f *Fair) Charge(j *Job, tokens float64) {
	f.account(j.spec.Workspace).finish += tokens / j.spec.Weight
}

// Ahead returns the expected tokens that are served before a new job of a workspace: all that wait, or less when the
// workspace's own queue is shorter than its share of them.
func (f *Fair) Ahead(workspace string, weight float64) float64 {
	a, ok := f.accounts[workspace]
	if !ok || a.waiting == 0 {
		// The job shares the next round with one job of each other workspace.
		return f.cost / max(float64(f.count), 1) * float64(len(f.active))
	}
	return min(f.cost, a.cost*f.weights/weight)
}

// Largest returns the newest job of the workspace that waits with the most cost for its weight.
func (f *Fair) Largest() (j *Job, load float64) {
	var name string
	for a, n := range f.active {
		if l := a.cost / a.weight; l > load || l == load && n < name {
			name, load = n, l
		}
	}
	for k, q := range f.flows {
		if last := q.jobs[len(q.jobs)-1]; k.workspace == name && (j == nil || last.tag > j.tag) {
			j = last
		}
	}
	return j, load
}

// Load returns the expected tokens that wait for a workspace divided by its weight.
func (f *Fair) Load(workspace string, weight float64) float64 {
	if a, ok := f.accounts[workspace]; ok {
		return a.cost / weight
	}
	return 0
}

func (f *Fair) account(name string) *account {
	a, ok := f.accounts[name]
	if !ok {
		a = &account{finish: f.now}
		f.accounts[name] = a
	}
	return a
}

// accountsMost is how many idle accounts are kept before those without debt are dropped.
const accountsMost = 1024

func (f *Fair) sweep() {
	if len(f.accounts) <= 2*len(f.active)+accountsMost {
		return
	}
	for name, a := range f.accounts {
		if a.waiting == 0 && a.finish <= f.now {
			delete(f.accounts, name)
		}
	}
}
