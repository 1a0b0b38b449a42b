package bergamotcontrol

import "bergamotspur/core/bergamotfleet"

// fleetCache keeps a fleet of some of the instances and changes it instead of building it anew.
type fleetCache struct {
	fleet    *bergamotfleet.Fleet
	stale    map[string]struct{} // instances that changed since the fleet was built
	reshaped bool                // the fleet has gained or lost an instance since it was built
}

func newFleetCache() fleetCache { return fleetCache{stale: map[string]struct{}{}, reshaped: true} }

func (c *fleetCache) touch(name string, reshaped bool) {
	c.stale[name] = struct{}{}
	c.reshaped = c.reshaped || reshaped
}

// get returns the fleet of those instances for which visible is true.
func (c *fleetCache) get(all map[string]bergamotfleet.Instance, visible func(bergamotfleet.Instance) bool) *bergamotfleet.Fleet {
	var list []bergamotfleet.Instance
	switch {
	case c.reshaped:
		for _, i := range all {
			if visible(i) {
				list = append(list, i)
			}
		}
		c.fleet = bergamotfleet.NewFleet(list)
	case len(c.stale) > 0:
		for name := range c.stale {
			if i, ok := all[name]; ok && visible(i) {
				list = append(list, i)
			}
		}
		if len(list) > 0 {
			c.fleet = c.fleet.With(list)
		}
	}
	clear(c.stale)
	c.reshaped = false
	return c.fleet
}
