package bergamotcontrol

import (
	"maps"
	"slices"
	"time"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotmember"
)

// State is the control state of one entry; only the control goroutine accesses it.
type State struct {
	now              time.Time
	bundle           *bergamotbundle.Bundle
	confirmedAt      time.Time // start of the last read of the head that confirmed the bundle
	headHinted       bool      // a peer knows a newer head
	instances        map[string]bergamotfleet.Instance
	changedInstances map[string]struct{} // instances that changed since the last update of the subset
	trafficRunners   map[string]int      // runners that traffic may use, with the number of groups that selected each; nil for all
	reportRequests   map[string]struct{} // runners from which a controller requested a fresh report
	fullFleet        fleetCache
	trafficFleet     fleetCache
	members          *bergamotmember.Snapshot
	shortOfRunners   []string // models that have fewer runners than the bundle declares
}

// NewState returns an empty state.
func NewState() *State {
	return &State{
		instances: map[string]bergamotfleet.Instance{}, changedInstances: map[string]struct{}{}, reportRequests: map[string]struct{}{},
		fullFleet: newFleetCache(), trafficFleet: newFleetCache(),
	}
}

// Now returns the time at which the control loop woke up.
func (s *State) Now() time.Time { return s.now }

// SetTime sets the time at which the control loop woke up.
func (s *State) SetTime(now time.Time) { s.now = now }

// Bundle returns the bundle in force, nil before the first is known.
func (s *State) Bundle() *bergamotbundle.Bundle { return s.bundle }

// SetBundle puts b in force unless its version is not newer, and reports whether it did.
func (s *State) SetBundle(b *bergamotbundle.Bundle) bool {
	if s.bundle != nil && b.Version() <= s.bundle.Version() {
		return false
	}
	s.bundle = b
	return true
}

// Instance returns the instance with this name.
func (s *State) Instance(name string) (i bergamotfleet.Instance, ok bool) {
	i, ok = s.instances[name]
	return i, ok
}

// InstanceNames returns the sorted names of all instances. Sorting them is too slow for a controller to call it on
// every pass.
func (s *State) InstanceNames() []string { return slices.Sorted(maps.Keys(s.instances)) }

// PutInstance adds or replaces an instance.
func (s *State) PutInstance(i bergamotfleet.Instance) {
	old, ok := s.instances[i.Name()]
	s.instances[i.Name()] = i
	s.markChanged(i.Name(), !ok || old.Role() != i.Role())
}

// RemoveInstance removes an instance.
func (s *State) RemoveInstance(name string) {
	delete(s.instances, name)
	s.markChanged(name, true)
}

// RequestReport makes the entry probe the runner within one period of Probes.
func (s *State) RequestReport(name string) { s.reportRequests[name] = struct{}{} }

// hasAllReports reports whether every usable runner of a large fleet has sent a report. It is true for a small fleet,
// all of which is probed within one period.
func (s *State) hasAllReports() bool {
	if s.trafficRunners == nil {
		return true
	}
	for _, i := range s.instances {
		if i.Role() == bergamotfleet.RoleRunner && i.Usable() && i.Load().ReceivedAt().IsZero() {
			return false
		}
	}
	return true
}

// Members returns what is known of the other entries and their hints, nil when there are no peers.
func (s *State) Members() *bergamotmember.Snapshot { return s.members }

// SetMembers replaces what is known of the other entries and their hints.
func (s *State) SetMembers(p *bergamotmember.Snapshot) { s.members = p }

// Fleet returns all instances; it reuses the unchanged parts of the last fleet.
func (s *State) Fleet() *bergamotfleet.Fleet {
	return s.fullFleet.get(s.instances, func(bergamotfleet.Instance) bool { return true })
}

// TrafficFleet returns the instances that traffic may use, which include only a subset of the runners of a large fleet.
func (s *State) TrafficFleet() *bergamotfleet.Fleet {
	if s.trafficRunners == nil {
		return s.Fleet()
	}
	return s.trafficFleet.get(s.instances, func(i bergamotfleet.Instance) bool {
		return i.Role() != bergamotfleet.RoleRunner || s.trafficRunners[i.Name()] > 0
	})
}

// markChanged records a change of an instance; needsRebuild is true if it was added or removed or has another role.
func (s *State) markChanged(name string, needsRebuild bool) {
	s.changedInstances[name] = struct{}{}
	s.fullFleet.markChanged(name, needsRebuild)
	s.trafficFleet.markChanged(name, needsRebuild)
}

// selectRunners restricts traffic to these runners, nil for all. The caller keeps the map and calls selectRunners again
// after each change of its keys.
func (s *State) selectRunners(runners map[string]int) {
	s.trafficRunners = runners
	s.trafficFleet.needsRebuild = true
}

// view returns a read-only view of the state.
func (s *State) view() *View {
	v := NewView(s.now, s.bundle, s.TrafficFleet()).WithMembers(s.members)
	v.confirmedAt, v.shortOfRunners = s.confirmedAt, s.shortOfRunners
	return v
}
