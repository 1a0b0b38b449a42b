package bergamotcontrol

import (
	"maps"
	"slices"
	"time"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotmember"
)

// State is the control state of one entry; only the control goroutine touches it.
type State struct {
	now       time.Time
	bundle    *bergamotbundle.Bundle
	confirmed time.Time
	hinted    bool
	instances map[string]bergamotfleet.Instance
	fleet     *bergamotfleet.Fleet
	members   *bergamotmember.Picture
}

// NewState returns an empty state.
func NewState() *State { return &State{instances: map[string]bergamotfleet.Instance{}} }

// Now returns the time at which the control loop woke up.
func (s *State) Now() time.Time { return s.now }

// Bundle returns the bundle in force, nil before the first is known.
func (s *State) Bundle() *bergamotbundle.Bundle { return s.bundle }

// SetBundle puts b in force and tells whether it did; a version that is not newer is ignored.
func (s *State) SetBundle(b *bergamotbundle.Bundle) bool {
	if s.bundle != nil && b.Version() <= s.bundle.Version() {
		return false
	}
	s.bundle = b
	return true
}

// Instance returns the instance of that name.
func (s *State) Instance(name string) (i bergamotfleet.Instance, ok bool) {
	i, ok = s.instances[name]
	return i, ok
}

// Instances returns the names of the instances in order.
func (s *State) Instances() []string { return slices.Sorted(maps.Keys(s.instances)) }

// PutInstance adds or replaces an instance.
func (s *State) PutInstance(i bergamotfleet.Instance) {
	s.instances[i.Name()] = i
	s.fleet = nil
}

// RemoveInstance forgets an instance.
func (s *State) RemoveInstance(name string) {
	delete(s.instances, name)
	s.fleet = nil
}

// Members returns the hints of other entries, nil when there are no peers.
func (s *State) Members() *bergamotmember.Picture { return s.members }

// SetMembers replaces the hints of other entries.
func (s *State) SetMembers(p *bergamotmember.Picture) { s.members = p }

// Fleet returns the instances; it reuses the last fleet when no instance has changed.
func (s *State) Fleet() *bergamotfleet.Fleet {
	if s.fleet == nil {
		s.fleet = bergamotfleet.NewFleet(slices.Collect(maps.Values(s.instances)))
	}
	return s.fleet
}

// view returns a read-only copy.
func (s *State) view() *View {
	v := NewView(s.now, s.bundle, s.Fleet()).WithMembers(s.members)
	v.confirmed = s.confirmed
	return v
}
