package bergamotfleet

import (
	"strconv"
	"time"
)

// RoleRunner is the role of an instance with a model engine; any other role is the name of a plain service.
const RoleRunner = "runner"

// RoleEntry is the role of the entries themselves in the instance list.
const RoleEntry = "entry"

// Spec holds the fields of an instance.
type Spec struct {
	Name            string
	Address         string // host and port
	DataCentre      string
	Kind            string    // kind of accelerator
	Role            string    // RoleRunner or the name of a plain service
	MaxLayers       int       // number of layers that fit into the memory
	Slots           int       // requests that a plain service runs at the same time, 0 if not known
	StartTime       int64     // start of the process in Unix milliseconds; a different value means a different process
	Sequence        int64     // rises with the rows that the process writes, 0 if not known
	SupportsFencing bool      // the instance rejects commands with an old fencing token
	ListedLeaving   bool      // the instance list marks the instance as leaving
	Leaving         bool      // the instance is leaving and must get no new work
	Failed          bool      // the instance does not answer
	ReportedByPeer  bool      // another entry reported that the instance is leaving or failed
	LastUnavailable time.Time // when the instance last refused a connection of this entry or told it that it is leaving, zero for never
	Joined          time.Time // when this entry first saw the instance
	Load            Load
	Holdings        []Holding
}

// Instance is what the entry knows about one target. It is a pointer to fields that never change, so that copying a
// fleet copies 8 bytes for each instance.
type Instance struct{ spec *Spec }

// NewInstance returns an instance with the fields of s.
func NewInstance(s Spec) Instance { return Instance{spec: &s} }

// Spec returns a copy of the fields, from which a changed instance can be built.
func (i Instance) Spec() Spec { return *i.fields() }

// Name returns the unique name.
func (i Instance) Name() string { return i.fields().Name }

// Address returns the host and port.
func (i Instance) Address() string { return i.fields().Address }

// DataCentre returns the data centre.
func (i Instance) DataCentre() string { return i.fields().DataCentre }

// Kind returns the kind of accelerator.
func (i Instance) Kind() string { return i.fields().Kind }

// Role returns RoleRunner or the name of a plain service.
func (i Instance) Role() string { return i.fields().Role }

// MaxLayers returns how many layers fit into the memory.
func (i Instance) MaxLayers() int { return i.fields().MaxLayers }

// Slots returns how many requests a plain service runs at the same time, 0 if not known.
func (i Instance) Slots() int { return i.fields().Slots }

// StartTime returns the start of the process in Unix milliseconds; a different value means a different process.
func (i Instance) StartTime() int64 { return i.fields().StartTime }

// Sequence returns a number that rises with the rows that the process writes, 0 if it is not known.
func (i Instance) Sequence() int64 { return i.fields().Sequence }

// Process returns a name that differs between the processes that had the instance's name one after another.
func (i Instance) Process() string {
	return i.fields().Name + "@" + strconv.FormatInt(i.fields().StartTime, 10)
}

// SupportsFencing reports whether the instance rejects commands with an old fencing token.
func (i Instance) SupportsFencing() bool { return i.fields().SupportsFencing }

// Usable reports whether the instance may get new work.
func (i Instance) Usable() bool {
	return !i.fields().Leaving && !i.fields().Failed && !i.fields().ReportedByPeer
}

// Leaving reports whether the instance is leaving.
func (i Instance) Leaving() bool { return i.fields().Leaving }

// Failed reports whether the instance does not answer.
func (i Instance) Failed() bool { return i.fields().Failed }

// ReportedByPeer reports whether another entry reported that the instance is leaving or failed.
func (i Instance) ReportedByPeer() bool { return i.fields().ReportedByPeer }

// ListedLeaving reports whether the instance list marks the instance as leaving.
func (i Instance) ListedLeaving() bool { return i.spec.ListedLeaving }

// Joined returns when this entry first saw the instance.
func (i Instance) Joined() time.Time { return i.fields().Joined }

// Load returns the load that the instance last reported.
func (i Instance) Load() Load { return i.fields().Load }

// Holdings returns the ranges of layers that the instance last reported.
func (i Instance) Holdings() []Holding { return i.fields().Holdings }

// fields returns the fields; those of the zero Instance are empty.
func (i Instance) fields() *Spec {
	if i.spec == nil {
		return &zeroSpec
	}
	return i.spec
}

var zeroSpec Spec
