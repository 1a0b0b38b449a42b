package bergamotqueue

// account tracks the usage of a workspace over all classes and priorities.
type account struct {
	virtualFinish float64 // virtual time at which the last job of the workspace finishes
	weight        float64
	waiting       int
	cost          float64 // expected tokens of the waiting jobs
}

// flow holds the waiting jobs of one workspace, class and priority in order of arrival.
type flow struct {
	key       flowKey
	jobs      []*Job
	heapIndex int // index in its flowHeap
}

type flowKey struct {
	workspace string
	class     Class
	priority  int
}

// flowHeap is a heap of the flows of one class and priority, ordered by the virtual start of their first jobs.
type flowHeap []*flow

// Len returns the number of flows.
func (h flowHeap) Len() int { return len(h) }

// Less orders flows by the virtual start of their first jobs.
func (h flowHeap) Less(i, j int) bool { return h[i].jobs[0].virtualStart < h[j].jobs[0].virtualStart }

// Swap swaps two flows.
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push appends a flow.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.heapIndex = len(*h)
	*h = append(*h, f)
}

// Pop removes the last flow.
func (h *flowHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
