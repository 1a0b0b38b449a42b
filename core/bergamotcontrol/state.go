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
	touched   map[string]struct{} // instances that changed since the subset was last brought up to date
	chosen    map[string]int      // runners that traffic may use, nil for all
	asked     map[string]struct{} // runners of which a controller wants a fresh report
	whole     fleetCache
	traffic   fleetCache
	members   *bergamotmember.Picture
	short     []string
}

// NewState returns an empty state.
func NewState() *State {
	return &State{
		instances: map[string]bergamotfleet.Instance{}, touched: map[string]struct{}{}, asked: map[string]struct{}{},
		whole: newFleetCache(), traffic: newFleetCache(),
	}
}

// Now returns the time at which the control loop woke up.
func (s *State) Now() time.Time { return s.now }

// SetTime sets the time at which the control loop woke up.
func (s *State) SetTime(now time.Time) { s.now = now }

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

// Instances returns the names of the instances in order. It sorts all names, so that no controller may call it
// on every pass.
func (s *State) Instances() []string { return slices.Sorted(maps.Keys(s.instances)) }

// PutInstance adds or replaces an instance.
func (s *State) PutInstance(i bergamotfleet.Instance) {
	old, ok := s.instances[i.Name()]
	s.instances[i.Name()] = i
	s.touch(i.Name(), !ok || old.Role() != i.Role())
}

// RemoveInstance forgets an instance.
func (s *State) RemoveInstance(name string) {
	delete(s.instances, name)
	s.touch(name, true)
}

// Ask makes the entry ask the runner for a report within a period of the probes.
func (s *State) Ask(name string) { s.asked[name] = struct{}{} }

// allReported tells whether every usable runner of a large fleet has been asked what it holds. A small one is
// asked as a whole within one period.
func (s *State) allReported() bool {
	if s.chosen == nil {
		return true
	}
	for _, i := range s.instances {
		if i.Role() == bergamotfleet.RoleRunner && i.Usable() && i.Load().ReceivedAt().IsZero() {
			return false
		}
	}
	return true
}

// Members returns the hints of other entries, nil when there are no peers.
func (s *State) Members() *bergamotmember.Picture { return s.members }

// SetMembers replaces the hints of other entries.
func (s *State) SetMembers(p *bergamotmember.Picture) { s.members = p }

// Fleet returns all instances; it reuses the last fleet as far as no instance has changed.
func (s *State) Fleet() *bergamotfleet.Fleet {
	return s.whole.get(s.instances, func(bergamotfleet.Instance) bool { return true })
}

// Traffic returns the instances that traffic may use: of a large fleet a subset of the runners.
func (s *State) Traffic() *bergamotfleet.Fleet {
	if s.chosen == nil {
		return s.Fleet()
	}
	return s.traffic.get(s.instances, func(i bergamotfleet.Instance) bool {
		return i.Role() != bergamotfleet.RoleRunner || s.chosen[i.Name()] > 0
	})
}

func (s *State) touch(name string, reshaped bool) {
	s.touched[name] = struct{}{}
	s.whole.touch(name, reshaped)
	s.traffic.touch(name, reshaped)
}

// choose restricts traffic to these runners, nil for all. The caller goes on to own the map and calls choose after
// each change of its keys.
func (s *State) choose(runners map[string]int) {
	s.chosen = runners
	s.traffic.reshaped = true
}

// view returns a read-only copy.
func (s *State) view() *View {
	v := NewView(s.now, s.bundle, s.Traffic()).WithMembers(s.members)
	v.confirmed, v.short = s.confirmed, s.short
	return v
}
