package bergamotqueue

import "time"

// Class is the size class of a job.
type Class int

// Size classes by expected tokens.
const (
	ClassShort Class = iota
	ClassLong
	classCount
)

// Spec holds the fields of a new job.
type Spec struct {
	Workspace   string
	Weight      float64 // weight of the workspace, above 0
	Priority    int     // higher priorities are served first
	Class       Class
	Cost        float64   // expected tokens
	Arrived     time.Time // when the job is submitted
	LatestStart time.Time // a job that starts later cannot meet its deadline
}

// Job is a request that waits for a slot or has one.
type Job struct {
	spec         Spec
	virtualStart float64
	granted      chan error // receives nil when the job may run, or the reason why it was dropped
	waiting      bool
}

// NewJob returns a job that is not queued yet.
func NewJob(s Spec) *Job { return &Job{spec: s, granted: make(chan error, 1)} }

// Workspace returns the workspace of the caller.
func (j *Job) Workspace() string { return j.spec.Workspace }

// Class returns the size class.
func (j *Job) Class() Class { return j.spec.Class }

// Cost returns the expected tokens.
func (j *Job) Cost() float64 { return j.spec.Cost }

// Priority returns the priority without what waiting adds to it; higher ones are served first.
func (j *Job) Priority() int { return j.spec.Priority }
