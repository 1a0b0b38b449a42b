package bergamotsession

import "time"

// Progress is what a stage reports about a span.
type Progress struct {
	steps int
	batch time.Duration
}

// NewProgress returns a report of the steps applied for the span and how long the current batch of the
// instance has been running, zero when it is idle.
func NewProgress(steps int, batch time.Duration) Progress {
	return Progress{steps: steps, batch: batch}
}

// Steps returns how many steps the instance has applied for the span.
func (p Progress) Steps() int { return p.steps }

// Batch returns how long the current batch of the instance has been running.
func (p Progress) Batch() time.Duration { return p.batch }
