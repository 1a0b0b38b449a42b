package bergamotfleet

import "slices"

// Fleet is a read-only set of instances in the order of their names.
type Fleet struct {
	instances []Instance
	index     map[string]int
	roles     map[string][]Instance
}

// NewFleet returns a fleet of the given instances.
func NewFleet(instances []Instance) *Fleet {
	f := &Fleet{instances: slices.Clone(instances), index: map[string]int{}, roles: map[string][]Instance{}}
	slices.SortFunc(f.instances, func(a, b Instance) int {
		if a.Name() < b.Name() {
			return -1
		}
		return 1
	})
	for n, i := range f.instances {
		f.index[i.Name()] = n
		f.roles[i.Role()] = append(f.roles[i.Role()], i)
	}
	return f
}

// Instances returns all instances; the caller must not change the slice.
func (f *Fleet) Instances() []Instance { return f.instances }

// Role returns the instances of one role; the caller must not change the slice.
func (f *Fleet) Role(role string) []Instance { return f.roles[role] }

// Instance returns the instance of that name.
func (f *Fleet) Instance(name string) (i Instance, ok bool) {
	n, ok := f.index[name]
	if !ok {
		return Instance{}, false
	}
	return f.instances[n], true
}
