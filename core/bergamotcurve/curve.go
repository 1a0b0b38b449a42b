package bergamotcurve

import "math"

// Curve is the time of one layer as a function of the sequences assigned to a target.
type Curve struct {
	base  float64
	slope float64
}

// NewCurve returns a curve with the time of one layer for one sequence and the time that each further
// sequence adds, both in microseconds.
func NewCurve(base, slope float64) Curve { return Curve{base: base, slope: slope} }

// Base returns the time of one layer for one sequence in microseconds.
func (c Curve) Base() float64 { return c.base }

// Slope returns the time that each further sequence adds to a layer in microseconds.
func (c Curve) Slope() float64 { return c.slope }

// Step returns the time of one layer for a batch in microseconds.
func (c Curve) Step(batch float64) float64 { return c.base + c.slope*max(batch-1, 0) }

// Rate returns how many layers a second a target runs at a batch, summed over its sequences.
func (c Curve) Rate(batch float64) float64 { return batch / c.Step(batch) * 1e6 }

// Batch returns the largest batch whose time for one layer is within limit microseconds, at least 1 and at most most.
func (c Curve) Batch(limit, most float64) float64 {
	if c.slope <= 0 {
		return most
	}
	return math.Min(math.Max(1+(limit-c.base)/c.slope, 1), most)
}
