package bergamotfleet

import (
	"slices"
	"strings"
	"sync"
)

// Fleet is a read-only set of instances, sorted by name.
type Fleet struct {
	instances []Instance
	index     map[string]position
	byRole    map[string][]Instance

	indexAddresses sync.Once
	byAddress      map[string]int // position in instances
}

// NewFleet returns a fleet of the given instances.
func NewFleet(instances []Instance) *Fleet {
	f := &Fleet{
		instances: slices.Clone(instances),
		index:     make(map[string]position, len(instances)), byRole: map[string][]Instance{},
	}
	slices.SortFunc(f.instances, func(a, b Instance) int { return strings.Compare(a.Name(), b.Name()) })
	for n, i := range f.instances {
		f.index[i.Name()] = position{inAll: n, inRole: len(f.byRole[i.Role()])}
		f.byRole[i.Role()] = append(f.byRole[i.Role()], i)
	}
	return f
}

// With returns a copy of the fleet in which the given instances replace those of the same name. An instance that is not
// in the fleet, or has another role there, is ignored. Both fleets share the index, so that a change costs a copy of 8
// bytes for each instance instead of a new index.
func (f *Fleet) With(changed []Instance) *Fleet {
	out := &Fleet{instances: slices.Clone(f.instances), index: f.index, byRole: make(map[string][]Instance, len(f.byRole))}
	for role, list := range f.byRole {
		out.byRole[role] = slices.Clone(list)
	}
	for _, i := range changed {
		pos, ok := f.index[i.Name()]
		if !ok || f.instances[pos.inAll].Role() != i.Role() {
			continue
		}
		out.instances[pos.inAll] = i
		out.byRole[i.Role()][pos.inRole] = i
	}
	return out
}

// Instances returns all instances, sorted by name; the caller must not change the slice.
func (f *Fleet) Instances() []Instance { return f.instances }

// ByRole returns the instances of one role, sorted by name; the caller must not change the slice.
func (f *Fleet) ByRole(role string) []Instance { return f.byRole[role] }

// ByAddress returns the instance at an address, if there is one. While one replaces another there, it is the one that does not leave.
func (f *Fleet) ByAddress(address string) (i Instance, ok bool) {
	f.indexAddresses.Do(func() {
		f.byAddress = make(map[string]int, len(f.instances))
		for n, i := range f.instances {
			if other, known := f.byAddress[i.Address()]; !known || f.instances[other].Leaving() {
				f.byAddress[i.Address()] = n
			}
		}
	})
	n, ok := f.byAddress[address]
	if !ok {
		return Instance{}, false
	}
	return f.instances[n], true
}

// Instance returns the instance called name, if there is one.
func (f *Fleet) Instance(name string) (i Instance, ok bool) {
	pos, ok := f.index[name]
	if !ok {
		return Instance{}, false
	}
	return f.instances[pos.inAll], true
}

// position holds the indexes of an instance in Fleet.instances and in the slice of its role.
type position struct {
	inAll  int
	inRole int
}
