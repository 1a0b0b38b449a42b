package bergamotpath

import (
	"math/rand/v2"
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
	// crossShare is the part of the pipe between two data centres that paths over both may use; most paths cross twice.
	crossShare = 0.3
	crossBurst = 2 // paths that may cross at once
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
}

// Route returns the plan with the least expected time and reserves memory for its tokens; ok is false when no path
// covers all layers.
func (r *Router) Route(w Want) (p bergamotroute.Plan, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.used == nil {
		r.used = map[string]float64{}
	}
	groups := map[string][]candidate{}
	var all []candidate
	var centres []string
	for _, i := range w.Fleet.Role(w.Service) {
		c, usable := r.candidate(w, i)
		if !usable {
			continue
		}
		if _, known := groups[c.centre]; !known {
			centres = append(centres, c.centre)
		}
		groups[c.centre] = append(groups[c.centre], c)
		all = append(all, c)
	}
	best, chosen, promised := 0.0, "", 0.0
	for _, centre := range centres {
		s := search{candidates: groups[centre], layers: w.Engine.Layers()}
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
	if !ok && r.mayCross(w) {
		s := search{candidates: all, layers: w.Engine.Layers(), cross: float64(w.Engine.Crossing())}
		p, _, ok = s.run()
	}
	if ok {
		r.reserve(p, w.Tokens)
	}
	return p, ok
}

// mayCross tells whether one more path may lead over more than one data centre. Such paths share a pipe, and once it is
// full, all of them stall.
func (r *Router) mayCross(w Want) bool {
	if w.Engine.Crossing() <= 0 {
		return true
	}
	most := rate.Limit(crossShare / w.Engine.Crossing().Seconds() / float64(max(w.Entries, 1)))
	if r.cross.Limit() != most {
		r.cross.SetLimitAt(r.Clock.Now(), most)
		r.cross.SetBurstAt(r.Clock.Now(), crossBurst)
	}
	return r.cross.AllowN(r.Clock.Now(), 1)
}

// candidate returns what the search needs to know of a runner.
func (r *Router) candidate(w Want, i bergamotfleet.Instance) (c candidate, ok bool) {
	k, known := w.Engine.Kind(i.Kind())
	if !known || !i.Usable() || w.Avoid[i.Name()] || r.avoided(i.Name()) || len(i.Holdings()) == 0 {
		return c, false
	}
	h := i.Holdings()[0]
	if h.To() <= h.From() {
		return c, false
	}
	room, _ := r.room(w, i)
	used := r.used[i.Name()] + r.reported(i.Name())
	if room <= 0 || used >= room {
		return c, false
	}
	layer := float64(w.Engine.Step()) * k.Pace() / float64(w.Engine.Layers())
	// Other entries are taken to have as much work there as this one. That is wrong while some of them restart, so
	// that it only makes a runner dearer; what this entry knows itself is the limit.
	share := min(max(used, r.used[i.Name()]*float64(max(w.Entries, 1)))/room, mostShare)
	return candidate{
		name: i.Name(), address: i.Address(), centre: i.DataCentre(), from: h.From(), to: h.To(),
		layer: layer / (1 - share), left: (room - used) / max(w.Tokens, 1),
	}, true
}
