package bergamotcontrol

import "bergamotspur/core/bergamotfleet"

// fleetCache caches a fleet of some of the instances and updates it incrementally where possible.
type fleetCache struct {
	fleet        *bergamotfleet.Fleet
	changed      map[string]struct{} // instances that changed since the fleet was built
	needsRebuild bool                // an instance was added or removed or has another role
}

func newFleetCache() fleetCache {
	return fleetCache{changed: map[string]struct{}{}, needsRebuild: true}
}

func (c *fleetCache) markChanged(name string, needsRebuild bool) {
	c.changed[name] = struct{}{}
	c.needsRebuild = c.needsRebuild || needsRebuild
}

// get returns the fleet of the instances for which isVisible returns true.
func (c *fleetCache) get(instances map[string]bergamotfleet.Instance, isVisible func(bergamotfleet.Instance) bool) *bergamotfleet.Fleet {
	var list []bergamotfleet.Instance
	switch {
	case c.needsRebuild:
		for _, i := range instances {
			if isVisible(i) {
				list = append(list, i)
			}
		}
		c.fleet = bergamotfleet.NewFleet(list)
	case len(c.changed) > 0:
		for name := range c.changed {
			if i, ok := instances[name]; ok && isVisible(i) {
				list = append(list, i)
			}
		}
		if len(list) > 0 {
			c.fleet = c.fleet.With(list)
		}
	}
	clear(c.changed)
	c.needsRebuild = false
	return c.fleet
}
