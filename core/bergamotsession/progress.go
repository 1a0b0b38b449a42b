package bergamotsession

import "time"

// Progress is the state of a span as its instance reports it.
type Progress struct {
	steps    int
	batchAge time.Duration
}

// NewProgress returns the progress of a span for which the instance has applied steps; batchAge is how long the current
// batch of the instance has been running, zero when it is idle.
func NewProgress(steps int, batchAge time.Duration) Progress {
	return Progress{steps: steps, batchAge: batchAge}
}

// Steps returns the number of steps that the instance has applied for the span.
func (p Progress) Steps() int { return p.steps }

// BatchAge returns how long the current batch of the instance has been running, zero when it is idle.
func (p Progress) BatchAge() time.Duration { return p.batchAge }
