package bergamotpath

import (
	"cmp"
	"slices"

	"bergamotspur/core/bergamotconfig"
	"bergamotspur/core/bergamotfleet"
)

// maxSampled is the maximum number of runners with the same layer range that are compared in a data centre. A few random
// runners include an idle one almost as reliably as all of them do, and the time to select a path stays independent of
// the size of the fleet.
const maxSampled = 4

// index holds the data for path selection that does not depend on load; it is rebuilt when the fleet changes.
type index struct {
	fleet   *bergamotfleet.Fleet
	engine  *bergamotconfig.Engine
	service string
	centres []centreIndex
}

// centreIndex is the part of an index for one data centre.
type centreIndex struct {
	name   string
	ranges [][]indexedRunner // runners grouped by layer range, sorted by first layer
}

// indexedRunner is a usable runner and its layer range.
type indexedRunner struct {
	name      string
	process   string
	address   string
	from      int
	to        int
	layerTime float64 // nanoseconds per layer when the runner is idle
	capacity  float64 // token-layers that fit into the memory for requests
}

func newIndex(q Query) *index {
	x := &index{fleet: q.Fleet, engine: q.Engine, service: q.Service}
	byCentre := map[string][]indexedRunner{}
	for _, i := range q.Fleet.ByRole(q.Service) {
		acc, known := q.Engine.Accelerator(i.Kind())
		capacity, holds := capacity(q.Engine, i)
		if !known || !holds || !i.Usable() || capacity <= 0 {
			continue
		}
		h := i.Holdings()[0]
		if h.From() < 0 || h.To() > q.Engine.Layers() {
			continue // other programs also write to the list of runners and may name layers that the model lacks
		}
		byCentre[i.DataCentre()] = append(byCentre[i.DataCentre()], indexedRunner{
			name: i.Name(), process: i.Process(), address: i.Address(), from: h.From(), to: h.To(), capacity: capacity,
			layerTime: float64(q.Engine.StepTime()) * acc.Pace() / float64(q.Engine.Layers()),
		})
	}
	for centre, runners := range byCentre {
		slices.SortFunc(runners, func(a, b indexedRunner) int {
			return cmp.Or(cmp.Compare(a.from, b.from), cmp.Compare(a.to, b.to), cmp.Compare(a.name, b.name))
		})
		c := centreIndex{name: centre}
		for begin := 0; begin < len(runners); {
			end := begin + 1
			for end < len(runners) && runners[end].from == runners[begin].from && runners[end].to == runners[begin].to {
				end++
			}
			c.ranges = append(c.ranges, runners[begin:end])
			begin = end
		}
		x.centres = append(x.centres, c)
	}
	slices.SortFunc(x.centres, func(a, b centreIndex) int { return cmp.Compare(a.name, b.name) })
	return x
}

// capacity returns the token-layers of requests that fit into the memory of a runner beside its layers; ok is false if
// the runner holds no layers or its kind of accelerator is unknown.
func capacity(e *bergamotconfig.Engine, i bergamotfleet.Instance) (n float64, ok bool) {
	acc, known := e.Accelerator(i.Kind())
	if !known || len(i.Holdings()) == 0 {
		return 0, false
	}
	h := i.Holdings()[0]
	return maxMemoryShare * (acc.MemoryMB() - float64(h.To()-h.From())*e.LayerMB()) / e.TokenMB(), h.To() > h.From()
}
