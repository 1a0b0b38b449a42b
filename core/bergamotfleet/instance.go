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

// Instance is one target as the entry sees it.
type Instance struct{ spec Spec }

// NewInstance returns an instance with the fields of s.
func NewInstance(s Spec) Instance { return Instance{spec: s} }

// Spec returns the fields, to build a changed instance from.
func (i Instance) Spec() Spec { return i.spec }

// Name returns the unique name.
func (i Instance) Name() string { return i.spec.Name }

// Address returns host and port.
func (i Instance) Address() string { return i.spec.Address }

// DataCentre returns the data centre.
func (i Instance) DataCentre() string { return i.spec.Centre }

// Kind returns the kind of accelerator.
func (i Instance) Kind() string { return i.spec.Kind }

// Role returns RoleRunner or the name of a plain service.
func (i Instance) Role() string { return i.spec.Role }

// Memory returns how many layers fit.
func (i Instance) Memory() int { return i.spec.Memory }

// Fenced tells whether the instance rejects commands with an old fencing number.
func (i Instance) Fenced() bool { return i.spec.Fenced }

// Usable tells whether the instance may get new work.
func (i Instance) Usable() bool { return !i.spec.Leaving && !i.spec.Failed && !i.spec.Hinted }

// Leaving tells whether the instance is leaving.
func (i Instance) Leaving() bool { return i.spec.Leaving }

// Failed tells whether the instance does not answer.
func (i Instance) Failed() bool { return i.spec.Failed }

// Hinted tells whether another entry saw the instance leave or fail.
func (i Instance) Hinted() bool { return i.spec.Hinted }

// Listed tells whether the list says that the instance is leaving.
func (i Instance) Listed() bool { return i.spec.Listed }

// Joined returns when the entry first saw the instance.
func (i Instance) Joined() time.Time { return i.spec.Joined }

// Load returns the last load report.
func (i Instance) Load() Load { return i.spec.Load }

// Holdings returns the ranges of layers that the instance reported.
func (i Instance) Holdings() []Holding { return i.spec.Holdings }
