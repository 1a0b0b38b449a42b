package bergamotcurve

import "math"

// Curve is the time that a target takes for one layer as a function of its batch, the number of sequences assigned to it.
type Curve struct {
	base  float64
	slope float64
}

// NewCurve returns a curve from the time of one layer for one sequence and the time that each further sequence adds, both
// in microseconds.
func NewCurve(base, slope float64) Curve { return Curve{base: base, slope: slope} }

// Base returns the time of one layer for one sequence in microseconds.
func (c Curve) Base() float64 { return c.base }

// Slope returns the time that each further sequence adds to one layer in microseconds.
func (c Curve) Slope() float64 { return c.slope }

// LayerTime returns the time of one layer for a batch in microseconds.
func (c Curve) LayerTime(batch float64) float64 { return c.base + c.slope*max(batch-1, 0) }

// Rate returns how many layers a second a target runs with a batch, summed over the sequences of the batch.
func (c Curve) Rate(batch float64) float64 { return batch / c.LayerTime(batch) * 1e6 }

// LargestBatch returns the largest batch for which one layer takes at most maxTime microseconds, limited to the range from
// 1 to maxBatch.
func (c Curve) LargestBatch(maxTime, maxBatch float64) float64 {
	if c.slope <= 0 {
		return maxBatch
	}
	return math.Min(math.Max(1+(maxTime-c.base)/c.slope, 1), maxBatch)
}
