package bergamotfleet

import "time"

// RoleRunner is the role of an instance that runs models; any other role is the name of a plain service.
const RoleRunner = "runner"

// RoleEntry is the role under which the instance list names the entries themselves.
const RoleEntry = "entry"

// Spec holds the fields from which NewInstance builds an instance.
type Spec struct {
	Name     string
	Address  string    // host and port
	Centre   string    // data centre
	Kind     string    // kind of accelerator
	Role     string    // RoleRunner or the name of a plain service
	Memory   int       // layers that fit
	Slots    int       // requests that a plain service runs at the same time, 0 when not known
	Born     int64     // start of the process in Unix milliseconds; another value is another process
	Fenced   bool      // the instance rejects commands with an old fencing number
	Listed   bool      // the list says that the instance is leaving
	Leaving  bool      // the instance must get no new work
	Failed   bool      // the instance does not answer
	Hinted   bool      // another entry saw the instance leave or fail
	Seen     time.Time // when this entry itself last saw the instance refuse work, zero for never
	Joined   time.Time
	Load     Load
	Holdings []Holding
}

// Instance is one target as the entry sees it. It refers to its fields, which never change, so that a copy of a
// fleet copies 8 bytes for each instance.
type Instance struct{ spec *Spec }

// NewInstance returns an instance with the fields of s.
func NewInstance(s Spec) Instance { return Instance{spec: &s} }

// Spec returns the fields, to build a changed instance from.
func (i Instance) Spec() Spec { return *i.fields() }

// Name returns the unique name.
func (i Instance) Name() string { return i.fields().Name }

// Address returns host and port.
func (i Instance) Address() string { return i.fields().Address }

// DataCentre returns the data centre.
func (i Instance) DataCentre() string { return i.fields().Centre }

// Kind returns the kind of accelerator.
func (i Instance) Kind() string { return i.fields().Kind }

// Role returns RoleRunner or the name of a plain service.
func (i Instance) Role() string { return i.fields().Role }

// Memory returns how many layers fit.
func (i Instance) Memory() int { return i.fields().Memory }

// Slots returns how many requests a plain service runs at the same time, 0 when not known.
func (i Instance) Slots() int { return i.fields().Slots }

// Born returns the start of the process in Unix milliseconds; another value is another process.
func (i Instance) Born() int64 { return i.fields().Born }

// Fenced tells whether the instance rejects commands with an old fencing number.
func (i Instance) Fenced() bool { return i.fields().Fenced }

// Usable tells whether the instance may get new work.
func (i Instance) Usable() bool {
	return !i.fields().Leaving && !i.fields().Failed && !i.fields().Hinted
}

// Leaving tells whether the instance is leaving.
func (i Instance) Leaving() bool { return i.fields().Leaving }

// Failed tells whether the instance does not answer.
func (i Instance) Failed() bool { return i.fields().Failed }

// Hinted tells whether another entry saw the instance leave or fail.
func (i Instance) Hinted() bool { return i.fields().Hinted }

// Listed tells whether the list says that the instance is leaving.
func (i Instance) Listed() bool { return i.spec.Listed }

// Joined returns when the entry first saw the instance.
func (i Instance) Joined() time.Time { return i.fields().Joined }

// Load returns the last load report.
func (i Instance) Load() Load { return i.fields().Load }

// Holdings returns the ranges of layers that the instance reported.
func (i Instance) Holdings() []Holding { return i.fields().Holdings }

// fields returns the fields, empty ones for the zero instance.
func (i Instance) fields() *Spec {
	if i.spec == nil {
		return &noFields
	}
	return i.spec
}

var noFields Spec
