package bergamotqueue

// account is what a workspace has used, over all classes and priorities.
type account struct {
	finish  float64 // virtual time up to which the workspace has used its share
	weight  float64
	waiting int
	cost    float64 // expected tokens that wait
}

// flow is the waiting jobs of one workspace, class and priority in order of arrival.
type flow struct {
	key  flowKey
	jobs []*Job
	pos  int // in the heap of its level
}

type flowKey struct {
	workspace string
	class     Class
	priority  int
}

// level is a heap of the flows of one class and priority by the virtual start of their first job.
type level []*flow

// Len returns the number of flows.
func (h level) Len() int { return len(h) }

// Less orders by the virtual start of the first job.
func (h level) Less(i, j int) bool { return h[i].jobs[0].tag < h[j].jobs[0].tag }

// Swap exchanges two flows.
func (h level) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].pos, h[j].pos = i, j
}

// Push adds a flow.
func (h *level) Push(x any) {
	f := x.(*flow)
	f.pos = len(*h)
	*h = append(*h, f)
}

// Pop removes the last flow.
func (h *level) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
