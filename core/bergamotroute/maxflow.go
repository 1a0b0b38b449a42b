package bergamotroute

import (
	"container/heap"
	"time"
)

// maxBatch is the largest batch to assume for targets whose curve is flat.
const maxBatch = 256

// MaxFlow is the highest rate of tokens that the instances can sustain for a pipeline.
type MaxFlow struct {
	rate  float64
	slots float64
}

// NewMaxFlow returns a MaxFlow of rate tokens a second with slots sequences in flight.
func NewMaxFlow(rate, slots float64) MaxFlow { return MaxFlow{rate: rate, slots: slots} }

// Rate returns the number of tokens a second.
func (m MaxFlow) Rate() float64 { return m.rate }

// Slots returns the number of sequences in flight at that rate.
func (m MaxFlow) Slots() float64 { return m.slots }

// MaxFlow returns the maximum flow of tokens through the layers of a pipeline if no token may take longer than limit.
//
// Every layer passes the same flow, and a target splits its rate over the layers that it holds. Since the held ranges are
// intervals, serving each layer from the range that ends first is optimal for a given flow. MaxFlow finds the largest
// feasible flow by bisection.
func (r *Router) MaxFlow(q Query, limit time.Duration) MaxFlow {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.currentIndex(q.Fleet, q.Bundle)
	c := x.candidates(q.Pipeline)
	us := float64(limit) / float64(time.Microsecond) / float64(c.layers)
	rates := make([]float64, len(c.ranges))
	total := 0.0
	for _, h := range c.holdings {
		rate := h.target.curve.Rate(h.target.curve.LargestBatch(us, maxBatch)) * h.target.weight
		rates[h.rangeIndex] += rate
		total += rate
	}
	low, high := 0.0, total/float64(c.layers)
	for range 40 {
		if mid := (low + high) / 2; isFeasible(c, rates, mid) {
			low = mid
		} else {
			high = mid
		}
	}
	return MaxFlow{rate: low, slots: low * limit.Seconds()}
}

// isFeasible reports whether every layer can pass flow tokens a second.
func isFeasible(c *candidates, rates []float64, flow float64) bool {
	starts := make([][]int, c.layers)
	for n, r := range c.ranges {
		starts[r.from] = append(starts[r.from], n)
	}
	open := &rateHeap{}
	for layer := range c.layers {
		for _, n := range starts[layer] {
			heap.Push(open, spareRate{c.ranges[n].to, rates[n]})
		}
		remaining := flow
		for remaining > 0 {
			for open.Len() > 0 && (*open)[0].to <= layer {
				heap.Pop(open)
			}
			if open.Len() == 0 {
				return false
			}
			used := min(remaining, (*open)[0].rate)
			remaining -= used
			if (*open)[0].rate -= used; (*open)[0].rate <= 0 {
				heap.Pop(open)
			}
		}
	}
	return true
}

// spareRate is the rate of a range that no layer uses yet.
type spareRate struct {
	to   int
	rate float64
}

// rateHeap is a heap of spare rates, ordered by the end of their range.
type rateHeap []spareRate

// Len returns the number of spare rates.
func (h rateHeap) Len() int { return len(h) }

// Less reports whether the range of element i ends before that of element j.
func (h rateHeap) Less(i, j int) bool { return h[i].to < h[j].to }

// Swap swaps two elements.
func (h rateHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends an element.
func (h *rateHeap) Push(x any) { *h = append(*h, x.(spareRate)) }

// Pop removes and returns the last element.
func (h *rateHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
