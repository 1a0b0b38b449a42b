package bergamotrelay

import (
	"maps"
	"slices"

	"bergamotspur/core/bergamotcapacity"
)

// ServiceAdmission is the state of the admission of a service.
type ServiceAdmission struct {
	service string
	status  bergamotcapacity.Status
}

// Service returns the name of the service.
func (s ServiceAdmission) Service() string { return s.service }

// Status returns the state.
func (s ServiceAdmission) Status() bergamotcapacity.Status { return s.status }

// Status returns the state of all services on which the filter acts or has acted, sorted by name.
func (f *Admission) Status() (out []ServiceAdmission) {
	f.mu.RLock()
	services := maps.Clone(f.services)
	f.mu.RUnlock()
	now := f.Clock.Now()
	for _, name := range slices.Sorted(maps.Keys(services)) {
		out = append(out, ServiceAdmission{service: name, status: services[name].Status(now)})
	}
	return out
}
