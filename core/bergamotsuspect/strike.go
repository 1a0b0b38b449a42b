package bergamotsuspect

import "time"

// Strike is one failure of an instance while a request ran there.
type Strike struct {
	instance string
	alone    bool
	age      time.Duration
}

// NewStrike returns a strike that happened age ago; alone tells that no other request ran on the instance.
func NewStrike(instance string, alone bool, age time.Duration) Strike {
	return Strike{instance: instance, alone: alone, age: age}
}

// Instance returns the name of the instance that failed.
func (s Strike) Instance() string { return s.instance }

// Alone tells whether no other request of the entry ran on the instance.
func (s Strike) Alone() bool { return s.alone }

// Age returns how long ago the instance failed.
func (s Strike) Age() time.Duration { return s.age }
