package bergamotconfig

import "math/bits"

// MaxPriority is the least urgent priority; values outside 0 to MaxPriority are treated as the nearest one.
const MaxPriority = 9

// ClampPriority returns the priority nearest to p that is in range.
func ClampPriority(p int) int { return min(max(p, 0), MaxPriority) }

// Priorities is the set of priorities that requests for a service can have.
type Priorities struct{ set uint16 }

// Differ reports whether requests can have different priorities.
func (p Priorities) Differ() bool { return bits.OnesCount16(p.set) > 1 }

// MostUrgent returns the lowest value in the set, 0 if it is empty.
func (p Priorities) MostUrgent() int {
	if p.set == 0 {
		return 0
	}
	return bits.TrailingZeros16(p.set)
}

// Has reports whether the priority is in the set.
func (p Priorities) Has(priority int) bool { return p.set&(1<<ClampPriority(priority)) != 0 }

func (p Priorities) with(priority int) Priorities {
	return Priorities{p.set | 1<<ClampPriority(priority)}
}

// Priorities returns the priorities that requests for a service can have.
func (c *Config) Priorities(service string) Priorities { return c.priorities[service] }

// OutOfRange returns the number of routes and of keys whose priority is not from 0 to MaxPriority.
func (c *Config) OutOfRange() (routes, keys int) { return c.routesOutOfRange, c.keysOutOfRange }

// setPriorities determines the priorities of each service. Those of workspaces apply on routes that need a key.
func (c *Config) setPriorities() {
	c.priorities = map[string]Priorities{}
	var ofWorkspaces Priorities
	for _, w := range c.spec.Keys {
		if w.hasPriority {
			ofWorkspaces = ofWorkspaces.with(w.priority)
			if w.priority != ClampPriority(w.priority) {
				c.keysOutOfRange++
			}
		}
	}
	for _, r := range c.spec.Routes {
		if r.Priority() != ClampPriority(r.Priority()) {
			c.routesOutOfRange++
		}
		for _, s := range r.spec.Split {
			p := c.priorities[s.Service].with(r.Priority())
			if c.spec.RequiresKey && !r.IsPublic() {
				p.set |= ofWorkspaces.set
			}
			c.priorities[s.Service] = p
		}
	}
}
