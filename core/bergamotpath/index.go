package bergamotpath

import (
	"cmp"
	"slices"

	"bergamotspur/core/bergamotconfig"
	"bergamotspur/core/bergamotfleet"
)

// sampleMost is the number of runners that are weighed of those which hold the same range in a data centre. A few random
// ones find an idle runner almost as well as all, and the time of a choice does not grow with the fleet.
const sampleMost = 4

// index is what paths need to know of a fleet and does not change with the work; it is kept until the fleet changes.
type index struct {
	fleet   *bergamotfleet.Fleet
	engine  *bergamotconfig.Engine
	service string
	centres []centreIndex
}

// centreIndex is the part of an index for one data centre.
type centreIndex struct {
	name   string
	ranges [][]holder // holders of the same range, by the first layer
}

// holder is a usable runner with its range.
type holder struct {
	name    string
	address string
	from    int
	to      int
	layer   float64 // nanoseconds of one layer without other work
	room    float64 // token-layers of requests for which it has memory
}

func newIndex(w Want) *index {
	c := &index{fleet: w.Fleet, engine: w.Engine, service: w.Service}
	byCentre := map[string][]holder{}
	for _, i := range w.Fleet.ByRole(w.Service) {
		k, known := w.Engine.Kind(i.Kind())
		room, holds := room(w.Engine, i)
		if !known || !holds || !i.Usable() || room <= 0 {
			continue
		}
		h := i.Holdings()[0]
		if h.From() < 0 || h.To() > w.Engine.Layers() {
			continue // an entry that another writer made
		}
		byCentre[i.DataCentre()] = append(byCentre[i.DataCentre()], holder{
			name: i.Name(), address: i.Address(), from: h.From(), to: h.To(), room: room,
			layer: float64(w.Engine.Step()) * k.Pace() / float64(w.Engine.Layers()),
		})
	}
	for centre, holders := range byCentre {
		slices.SortFunc(holders, func(a, b holder) int {
			return cmp.Or(cmp.Compare(a.from, b.from), cmp.Compare(a.to, b.to), cmp.Compare(a.name, b.name))
		})
		x := centreIndex{name: centre}
		for begin := 0; begin < len(holders); {
			end := begin + 1
			for end < len(holders) && holders[end].from == holders[begin].from && holders[end].to == holders[begin].to {
				end++
			}
			x.ranges = append(x.ranges, holders[begin:end])
			begin = end
		}
		c.centres = append(c.centres, x)
	}
	slices.SortFunc(c.centres, func(a, b centreIndex) int { return cmp.Compare(a.name, b.name) })
	return c
}

// room returns the token-layers of requests for which a runner has memory; ok is false when it holds no layers.
func room(e *bergamotconfig.Engine, i bergamotfleet.Instance) (n float64, ok bool) {
	k, known := e.Kind(i.Kind())
	if !known || len(i.Holdings()) == 0 {
		return 0, false
	}
	h := i.Holdings()[0]
	return fullShare * (k.MemoryMB() - float64(h.To()-h.From())*e.LayerMB()) / e.TokenMB(), h.To() > h.From()
}
