package bergamotsuspect

import "time"

// Failure is a failure of an instance while a request ran on it.
type Failure struct {
	instance string
	alone    bool
	age      time.Duration
}

// NewFailure returns a failure that happened age ago; alone is true when no other request of the entry ran on the
// instance.
func NewFailure(instance string, alone bool, age time.Duration) Failure {
	return Failure{instance: instance, alone: alone, age: age}
}

// Instance returns the name of the instance that failed.
func (f Failure) Instance() string { return f.instance }

// RanAlone reports whether no other request of the entry ran on the instance.
func (f Failure) RanAlone() bool { return f.alone }

// Age returns how long ago the instance failed.
func (f Failure) Age() time.Duration { return f.age }
