package bergamotroute

import (
	"container/heap"
	"time"
)

// batchMost bounds a batch where the curve is flat.
const batchMost = 256

// Bound is the best that the instances could do for a pipeline.
type Bound struct {
	rate  float64
	slots float64
}

// NewBound returns a bound of rate tokens a second with slots sequences in flight.
func NewBound(rate, slots float64) Bound { return Bound{rate: rate, slots: slots} }

// Rate returns the most tokens a second.
func (b Bound) Rate() float64 { return b.rate }

// Slots returns how many sequences are in flight at that rate.
func (b Bound) Slots() float64 { return b.slots }

// Bound returns the maximum flow of tokens through the layers when no token may take longer than limit.
//
// Each layer passes the same flow, and each target splits its rate over the layers that it holds. Ranges are
// intervals, so that serving each layer from the range that ends first is optimal for a given flow; the largest
// feasible flow is found by bisection.
func (r *Router) Bound(w Want, limit time.Duration) Bound {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.refreshed(w.Fleet, w.Bundle)
	c := x.chart(w.Pipeline)
	us := float64(limit) / float64(time.Microsecond) / float64(c.layers)
	rates := make([]float64, len(c.ranges))
	total := 0.0
	for _, p := range c.parts {
		rate := p.target.curve.Rate(p.target.curve.Batch(us, batchMost)) * p.target.weight
		rates[p.extent] += rate
		total += rate
	}
	low, high := 0.0, total/float64(c.layers)
	for range 40 {
		if mid := (low + high) / 2; feasible(c, rates, mid) {
			low = mid
		} else {
			high = mid
		}
	}
	return Bound{rate: low, slots: low * limit.Seconds()}
}

// feasible tells whether every layer can pass flow tokens a second.
func feasible(c *chart, rates []float64, flow float64) bool {
	starts := make([][]int, c.layers)
	for n, r := range c.ranges {
		starts[r.from] = append(starts[r.from], n)
	}
	open := &ranges{}
	for layer := range c.layers {
		for _, n := range starts[layer] {
			heap.Push(open, offer{c.ranges[n].to, rates[n]})
		}
		need := flow
		for need > 0 {
			for open.Len() > 0 && (*open)[0].to <= layer {
				heap.Pop(open)
			}
			if open.Len() == 0 {
				return false
			}
			used := min(need, (*open)[0].rate)
			need -= used
			if (*open)[0].rate -= used; (*open)[0].rate <= 0 {
				heap.Pop(open)
			}
		}
	}
	return true
}

// offer is what is left of the rate of a range.
type offer struct {
	to   int
	rate float64
}

// ranges is a heap of offers by the end of their range.
type ranges []offer

// Len returns the number of offers.
func (h ranges) Len() int { return len(h) }

// Less orders by the end of the range.
func (h ranges) Less(i, j int) bool { return h[i].to < h[j].to }

// Swap exchanges two offers.
func (h ranges) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds an offer.
func (h *ranges) Push(x any) { *h = append(*h, x.(offer)) }

// Pop removes the last offer.
func (h *ranges) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
