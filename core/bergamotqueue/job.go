package bergamotqueue

import "time"

// Class is the size class of a request.
type Class int

// Classes by expected length.
const (
	ClassShort Class = iota
	ClassLong
	classes
)

// Spec holds the fields from which NewJob builds a job.
type Spec struct {
	Workspace string
	Weight    float64 // share of the workspace, above 0
	Priority  int     // a larger number goes first
	Class     Class
	Cost      float64   // expected tokens
	Arrived   time.Time // when the job asks for a slot
	Latest    time.Time // after this time a start cannot meet the deadline
}

// Job is one request that asks for a slot.
type Job struct {
	spec    Spec
	tag     float64
	granted chan error
	waiting bool
}

// NewJob returns a job that has not asked yet.
func NewJob(s Spec) *Job { return &Job{spec: s, granted: make(chan error, 1)} }

// Workspace returns the workspace of the caller.
func (j *Job) Workspace() string { return j.spec.Workspace }

// Class returns the size class.
func (j *Job) Class() Class { return j.spec.Class }

// Cost returns the expected tokens.
func (j *Job) Cost() float64 { return j.spec.Cost }
