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
	// fullShare is the part of a runner's memory for requests above which it gets no more work: the estimate of the
	// work of other entries is rough, and a runner without memory preempts running streams.
	fullShare = 0.9
	// mostShare bounds the part of the memory that counts as used when the cost of a runner is estimated.
	mostShare = 0.95
	// reportLife is the time over which a report of the work of other entries fades. Longer ones keep
	// requests from a runner whose streams have ended, shorter ones repeat rejections.
	reportLife  = 700 * time.Millisecond
	speedWeight = 0.15            // weight of one stream in the mean times of a data centre
	speedLife   = 6 * time.Second // time after which an observation no longer counts; a stream takes some 3 s
	// pressedShare is the estimated part of the memory in use above which a report is worth its price.
	pressedShare = 0.7
	reportFresh  = 350 * time.Millisecond // age up to which a report need not be repeated; reports lag some 200 ms themselves
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

// speed compares what paths of a data centre promised with what they took.
type speed struct {
	expected float64 // mean cost of the chosen paths in nanoseconds a token
	observed float64 // mean time of an event in nanoseconds, the wait for the first one included
	at       time.Time
}

// factor returns how much longer events take than expected, as a multiple of an arbitrary unit that is the same for
// all data centres; it returns to that of the others when nothing was observed for a while.
func (v *speed) factor(now time.Time) (f float64, ok bool) {
	if v == nil || v.observed == 0 || now.Sub(v.at) > speedLife {
		return 0, false
	}
	return v.observed / v.expected, true
}

// Learn takes the mean time of an event of a stream that ended, the wait for the first event included. Queues at a
// runner, slow runners and slow links show in it before they show anywhere else.
func (r *Router) Learn(centre string, event time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.speeds[centre]
	if v == nil || event <= 0 {
		return
	}
	if now := r.Clock.Now(); v.observed == 0 || now.Sub(v.at) > speedLife {
		v.observed, v.at = float64(event), now
	} else {
		v.observed += speedWeight * (float64(event) - v.observed)
		v.at = now
	}
}

// scale returns the factor on the cost of a data centre: its own, or the mean of the others while nothing is known.
func (r *Router) scale(centre string) float64 {
	now := r.Clock.Now()
	if f, ok := r.speeds[centre].factor(now); ok {
		return f
	}
	sum, n := 0.0, 0.0
	for _, v := range r.speeds {
		if f, ok := v.factor(now); ok {
			sum, n = sum+f, n+1
		}
	}
	if n == 0 {
		return 1
	}
	return sum / n
}

// expect records the cost of a chosen path.
func (r *Router) expect(centre string, cost float64) {
	if r.speeds == nil {
		r.speeds = map[string]*speed{}
	}
	v := r.speeds[centre]
	if v == nil {
		v = &speed{expected: cost}
		r.speeds[centre] = v
	}
	v.expected += speedWeight * (cost - v.expected)
}

// reported is the memory that requests of other entries held on a runner.
type reported struct {
	used float64 // token-layers
	at   time.Time
}

// Observe takes the memory in token-layers that all requests hold on a runner by its own report.
func (r *Router) Observe(runner string, used float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.others == nil {
		r.others = map[string]reported{}
	}
	r.others[runner] = reported{used: max(used-r.used[runner], 0), at: r.Clock.Now()}
}

// Avoid keeps new work from a runner for a while.
func (r *Router) Avoid(runner string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.avoid == nil {
		r.avoid = map[string]time.Time{}
	}
	if until := r.Clock.Now().Add(d); until.After(r.avoid[runner]) {
		r.avoid[runner] = until
	}
}

// Avoided tells whether new work is kept from a runner.
func (r *Router) Avoided(runner string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.avoided(runner)
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

// Pressed returns the runner of a plan that is closest to the end of its memory, if that is near and no fresh report
// of it is known.
func (r *Router) Pressed(p bergamotroute.Plan, w Want) (runner, address string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	most := pressedShare
	for _, s := range p.Stages() {
		i, known := w.Fleet.Instance(s.Instance())
		if !known || r.Clock.Now().Sub(r.others[s.Instance()].at) < reportFresh {
			continue
		}
		room, _ := r.room(w, i)
		if share := r.used[s.Instance()] * float64(max(w.Entries, 1)) / max(room, 1); share > most {
			runner, address, most, ok = s.Instance(), s.Address(), share, true
		}
	}
	return runner, address, ok
}

// room returns the token-layers of requests for which a runner has memory.
func (r *Router) room(w Want, i bergamotfleet.Instance) (room float64, ok bool) {
	k, known := w.Engine.Kind(i.Kind())
	if !known || len(i.Holdings()) == 0 {
		return 0, false
	}
	h := i.Holdings()[0]
	return fullShare * (k.MemoryMB() - float64(h.To()-h.From())*w.Engine.LayerMB()) / w.Engine.TokenMB(), true
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

// Finish releases the memory that Route reserved.
func (r *Router) Finish(p bergamotroute.Plan, tokens float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range p.Stages() {
		left := r.used[s.Instance()] - tokens*float64(s.To()-s.From())
		if left < 1 {
			delete(r.used, s.Instance())
			continue
		}
		r.used[s.Instance()] = left
	}
}

func (r *Router) reserve(p bergamotroute.Plan, tokens float64) {
	for _, s := range p.Stages() {
		r.used[s.Instance()] += tokens * float64(s.To()-s.From())
	}
}

func (r *Router) avoided(runner string) bool {
	until, ok := r.avoid[runner]
	if ok && !r.Clock.Now().Before(until) {
		delete(r.avoid, runner)
		return false
	}
	return ok
}

// reported returns the memory that requests of other entries hold by a report that is not too old.
func (r *Router) reported(runner string) float64 {
	o, ok := r.others[runner]
	if !ok {
		return 0
	}
	age := r.Clock.Now().Sub(o.at)
	if age >= reportLife {
		delete(r.others, runner)
		return 0
	}
	return o.used * (1 - float64(age)/float64(reportLife))
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
