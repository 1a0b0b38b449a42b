package bergamotfleet

import (
	"slices"
	"strings"
)

// Fleet is a read-only set of instances in the order of their names.
type Fleet struct {
	instances []Instance
	index     map[string]position
	roles     map[string][]Instance
}

// NewFleet returns a fleet of the given instances.
func NewFleet(instances []Instance) *Fleet {
	f := &Fleet{
		instances: slices.Clone(instances),
		index:     make(map[string]position, len(instances)), roles: map[string][]Instance{},
	}
	slices.SortFunc(f.instances, func(a, b Instance) int { return strings.Compare(a.Name(), b.Name()) })
	for n, i := range f.instances {
		f.index[i.Name()] = position{all: n, role: len(f.roles[i.Role()])}
		f.roles[i.Role()] = append(f.roles[i.Role()], i)
	}
	return f
}

// With returns a fleet in which the given instances replace those of the same name and role; an instance that
// the fleet lacks, or that has another role in it, is ignored. The index is shared between both fleets, so that
// a change costs a copy of 8 bytes for each instance instead of a new index.
func (f *Fleet) With(changed []Instance) *Fleet {
	out := &Fleet{instances: slices.Clone(f.instances), index: f.index, roles: make(map[string][]Instance, len(f.roles))}
	for role, list := range f.roles {
		out.roles[role] = slices.Clone(list)
	}
	for _, i := range changed {
		at, ok := f.index[i.Name()]
		if !ok || f.instances[at.all].Role() != i.Role() {
			continue
		}
		out.instances[at.all] = i
		out.roles[i.Role()][at.role] = i
	}
	return out
}

// Instances returns all instances; the caller must not change the slice.
func (f *Fleet) Instances() []Instance { return f.instances }

// Role returns the instances of one role; the caller must not change the slice.
func (f *Fleet) Role(role string) []Instance { return f.roles[role] }

// Instance returns the instance of that name.
func (f *Fleet) Instance(name string) (i Instance, ok bool) {
	at, ok := f.index[name]
	if !ok {
		return Instance{}, false
	}
	return f.instances[at.all], true
}

// position is where an instance is in the list of all and in that of its role.
type position struct {
	all  int
	role int
}
