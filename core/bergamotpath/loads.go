package bergamotpath

import (
	"bergamotspur/core/bergamotcapacity"
	"bergamotspur/core/bergamotconfig"
	"bergamotspur/core/bergamotfleet"
)

// loadBatch is the number of runners that are read under one hold of the router's lock, about 5 us, so that selecting a
// path never waits longer for it.
const loadBatch = 128

// LoadReader reads the load of the runners of one service from a router. It is not safe for concurrent use.
type LoadReader struct {
	Router *Router

	index *index
	loads []bergamotcapacity.Runner // returned by the last call of Loads, kept to reuse the allocation
}

// Loads returns the usable runners that hold layers, with their capacity and the memory that requests use on them. The
// slice is valid until the next call.
func (l *LoadReader) Loads(e *bergamotconfig.Engine, service string, f *bergamotfleet.Fleet) []bergamotcapacity.Runner {
	if l.index == nil || l.index.fleet != f || l.index.engine != e || l.index.service != service {
		l.index = newIndex(Query{Engine: e, Service: service, Fleet: f})
	}
	l.loads = l.loads[:0]
	for _, dc := range l.index.centres {
		for _, runners := range dc.ranges {
			for len(runners) > 0 {
				n := min(len(runners), loadBatch)
				l.loads = l.Router.appendLoads(l.loads, dc.name, runners[:n])
				runners = runners[n:]
			}
		}
	}
	return l.loads
}

// appendLoads appends the loads of runners that have not asked for no more requests.
func (r *Router) appendLoads(out []bergamotcapacity.Runner, centre string, runners []indexedRunner) []bergamotcapacity.Runner {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	for _, i := range runners {
		if r.Exclusions != nil && r.Exclusions.IsExcluded(i.process) {
			continue
		}
		load := bergamotcapacity.Runner{Centre: centre, From: i.from, To: i.to, Capacity: i.capacity, Own: r.used[i.name]}
		load.Used, load.OwnUsed = load.Own, load.Own
		if o, ok := r.otherUsage[i.name]; ok && o.shared {
			if age := now.Sub(o.at); age < sharedTTL {
				load.Used, load.OwnUsed, load.Age, load.Reported = o.used+o.own, o.own, age, true
			}
		}
		out = append(out, load)
	}
	return out
}
