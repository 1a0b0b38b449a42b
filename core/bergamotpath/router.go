package bergamotpath

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"bergamotspur/core/bergamotconfig"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotroute"
)

const (
	hopTime = 250 * time.Microsecond // transfer and wait for the running pass at one more runner
	// remoteFactor prefers the own data centre: bytes between data centres are priced.
	remoteFactor = 1.15
	// spread is the random part of the cost of a data centre. It keeps entries from choosing the same one at once,
	// and lets each entry notice failures in all of them.
	spread = 0.25
	// crossShare is the part of the pipe between two data centres that prompts on paths over both may use.
	crossShare = 0.6
	crossBurst = 4 // crossings that may begin at once
	// mostShare bounds the part of the memory that counts as used when the cost of a runner is estimated.
	mostShare = 0.95
)

// Want describes the path that a request needs.
type Want struct {
	Engine  *bergamotconfig.Engine
	Service string
	Fleet   *bergamotfleet.Fleet
	Tokens  float64         // tokens of the prompt and the expected answer
	Avoid   map[string]bool // runners that must not be used
	Entries int             // entries that share the runners
}

// Router chooses paths by expected time and counts the work that this entry has in flight.
type Router struct {
	Clock  interface{ Now() time.Time }
	Random *rand.Rand // used under the router's lock
	Centre string     // data centre of the entry

	mu     sync.Mutex
	used   map[string]float64 // token-layers in flight by runner
	avoid  map[string]time.Time
	others map[string]reported
	cross  rate.Limiter // paths over more than one data centre
	speeds map[string]*speed
	index  *index
	found  []candidate // of the present choice, kept for its memory
}

// Route returns the plan with the least expected time and reserves memory for its tokens; ok is false when no path
// covers all layers.
func (r *Router) Route(w Want) (p bergamotroute.Plan, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.used == nil {
		r.used = map[string]float64{}
	}
	if r.index == nil || r.index.fleet != w.Fleet || r.index.engine != w.Engine || r.index.service != w.Service {
		r.index = newIndex(w)
	}
	r.found = r.found[:0]
	best, chosen, promised := 0.0, "", 0.0
	for _, dc := range r.index.centres {
		centre, begin := dc.name, len(r.found)
		r.weigh(w, dc)
		s := search{candidates: r.found[begin:], layers: w.Engine.Layers()}
		plan, cost, found := s.run()
		if !found {
			continue
		}
		base := cost
		cost *= r.scale(centre) * (1 + spread*r.Random.Float64())
		if centre != r.Centre {
			cost *= remoteFactor
		}
		if !ok || cost < best {
			p, best, ok = plan, cost, true
			chosen, promised = centre, base
		}
	}
	if ok {
		r.expect(chosen, promised)
	}
	if !ok {
		slices.SortStableFunc(r.found, func(a, b candidate) int { return a.from - b.from })
		s := search{candidates: r.found, layers: w.Engine.Layers(), cross: float64(w.Engine.Crossing())}
		if p, _, ok = s.run(); ok {
			ok = r.mayCross(w, s.crossings(p))
		}
	}
	if ok {
		r.reserve(p, w.Tokens)
	}
	return p, ok
}

// mayCross tells whether one more path may lead over more than one data centre, with a number of crossings. Such paths
// share a pipe, and once it is full, all of them stall.
func (r *Router) mayCross(w Want, crossings int) bool {
	if w.Engine.Crossing() <= 0 {
		return true
	}
	most := rate.Limit(crossShare / w.Engine.Crossing().Seconds() / float64(max(w.Entries, 1)))
	if r.cross.Limit() != most {
		r.cross.SetLimitAt(r.Clock.Now(), most)
		r.cross.SetBurstAt(r.Clock.Now(), crossBurst)
	}
	return r.cross.AllowN(r.Clock.Now(), crossings)
}

// weigh appends the usable holders of a data centre with their present cost, a random few of those with the same range.
func (r *Router) weigh(w Want, dc centreIndex) {
	for _, holders := range dc.ranges {
		first := 0
		if len(holders) > sampleMost {
			first = r.Random.IntN(len(holders))
		}
		taken := 0
		for n := 0; n < len(holders) && taken < sampleMost; n++ {
			if c, ok := r.candidate(w, dc.name, holders[(first+n)%len(holders)]); ok {
				r.found = append(r.found, c)
				taken++
			}
		}
	}
}

// candidate returns what the search needs to know of a runner; ok is false when it can take no more work.
func (r *Router) candidate(w Want, centre string, h holder) (c candidate, ok bool) {
	if w.Avoid[h.name] || r.avoided(h.name) {
		return c, false
	}
	used := r.used[h.name] + r.reported(h.name)
	if used >= h.room {
		return c, false
	}
	// Other entries are taken to have as much work there as this one. That is wrong while some of them restart, so
	// that it only makes a runner dearer; what this entry knows itself is the limit.
	share := min(max(used, r.used[h.name]*float64(max(w.Entries, 1)))/h.room, mostShare)
	return candidate{
		name: h.name, address: h.address, centre: centre, from: h.from, to: h.to,
		layer: h.layer / (1 - share), left: (h.room - used) / max(w.Tokens, 1),
	}, true
}
