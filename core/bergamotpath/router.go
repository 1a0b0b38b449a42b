package bergamotpath

import (
	"math"
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
	hopCost = 250 * time.Microsecond // cost of each runner on a path: the transfer and the wait for the forward pass in progress
	// remoteCostFactor raises the cost of other data centres, since traffic between data centres is charged.
	remoteCostFactor = 1.15
	// maxCostJitter is the largest share by which the cost of a data centre is randomly raised. The jitter keeps entries
	// from all selecting the same data centre at once and lets each entry detect failures in all of them.
	maxCostJitter = 0.25
	// maxLinkShare is the share of the link between two data centres that prompts on paths across both may use.
	maxLinkShare     = 0.6
	maxCrossingBurst = 4 // crossings that may start at once
	// maxUtilization caps the memory utilization from which the cost of a runner is estimated.
	maxUtilization = 0.95
	// Bounds of the exponent of the load, for answers of twice the typical length and more, and of half of it and less.
	minLoadExponent = 0.5
	maxLoadExponent = 2.0
	// maxPermitTries is how often a path is chosen anew because the permit of its first runner has expired meanwhile.
	maxPermitTries = 3
)

// Query describes the path that a request needs.
type Query struct {
	Engine  *bergamotconfig.Engine
	Service string
	Fleet   *bergamotfleet.Fleet
	Tokens  float64         // tokens of the prompt and the expected answer
	Answer  float64         // expected tokens of the answer, 0 if unknown
	Avoid   map[string]bool // runners that must not be used
	Entries int             // number of entries that share the runners
}

// Router selects paths by expected time and tracks the memory that the requests of this entry use on the runners.
type Router struct {
	Clock  interface{ Now() time.Time }
	Random *rand.Rand // guarded by the lock of the router
	Centre string     // data centre of the entry
	// Exclusions has the runners that asked for no more requests, nil for none.
	Exclusions *Exclusions
	// Limits has the limits of requests that runners name, nil for none.
	Limits Limits

	mu            sync.Mutex
	used          map[string]float64     // token-layers of requests of this entry in flight, by runner
	avoidUntil    map[string]time.Time   // by runner
	otherUsage    map[string]usageReport // by runner
	crossingLimit rate.Limiter           // for paths across data centres
	latencies     map[string]*latency    // by data centre
	index         *index
	candidates    []candidate // candidates of the current call of Route, kept to reuse the allocation
}

// Route returns the plan with the lowest expected time and reserves memory for its tokens, and a permit if its first runner has a limit; ok
// is false if no path covers all layers.
func (r *Router) Route(q Query) (p bergamotroute.Plan, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.used == nil {
		r.used = map[string]float64{}
	}
	var c choice
	for range maxPermitTries {
		if c, ok = r.choose(q, true); !ok {
			return p, false
		}
		// The last permit may have expired since the candidates were compared.
		if ok = r.Limits == nil || r.Limits.Take(c.first); ok {
			break
		}
	}
	if !ok {
		return p, false
	}
	if c.centre != "" {
		r.recordExpected(c.centre, c.cost)
	} else if !r.allowCrossings(q, c.crossings) {
		r.giveBack(c.first)
		return p, false
	}
	r.reserve(c.plan, q.Tokens)
	return c.plan, true
}

// choice is the path that a query gets.
type choice struct {
	plan      bergamotroute.Plan
	first     string  // process of the first runner
	centre    string  // data centre that it stays in, empty for a path over several
	cost      float64 // in nanoseconds
	crossings int
}

// choose returns the plan with the lowest expected time. Unless heed is set, it takes no account of the limits of runners.
func (r *Router) choose(q Query, heed bool) (out choice, ok bool) {
	if r.index == nil || r.index.fleet != q.Fleet || r.index.engine != q.Engine || r.index.service != q.Service {
		r.index = newIndex(q)
	}
	r.candidates = r.candidates[:0]
	lowest := 0.0
	for _, dc := range r.index.centres {
		begin := len(r.candidates)
		r.appendCandidates(q, dc, heed)
		s := search{candidates: r.candidates[begin:], layers: q.Engine.Layers()}
		plan, base, found := s.run()
		if !found {
			continue
		}
		cost := base * r.costFactor(dc.name) * (1 + maxCostJitter*r.Random.Float64())
		if dc.name != r.Centre {
			cost *= remoteCostFactor
		}
		if !ok || cost < lowest {
			out, lowest, ok = choice{plan: plan, first: s.process(plan), centre: dc.name, cost: base}, cost, true
		}
	}
	if ok {
		return out, true
	}
	slices.SortStableFunc(r.candidates, func(a, b candidate) int { return a.from - b.from })
	s := search{candidates: r.candidates, layers: q.Engine.Layers(), crossingCost: float64(q.Engine.CrossingTime())}
	plan, _, ok := s.run()
	if !ok {
		return out, false
	}
	return choice{plan: plan, first: s.process(plan), crossings: s.countCrossings(plan)}, true
}

// allowCrossings reports whether the rate limit permits a path with the given number of crossings between data centres.
// All such paths share one link and stall together when it is saturated.
func (r *Router) allowCrossings(q Query, crossings int) bool {
	if q.Engine.CrossingTime() <= 0 {
		return true
	}
	limit := rate.Limit(maxLinkShare / q.Engine.CrossingTime().Seconds() / float64(max(q.Entries, 1)))
	if r.crossingLimit.Limit() != limit {
		r.crossingLimit.SetLimitAt(r.Clock.Now(), limit)
		r.crossingLimit.SetBurstAt(r.Clock.Now(), maxCrossingBurst)
	}
	return r.crossingLimit.AllowN(r.Clock.Now(), crossings)
}

// loadExponent returns the exponent of the load in the cost of a runner. Long answers take the fast runners although these are busy,
// and short ones leave them to these: a long answer on a slow path meets more failures before it is complete.
func (q Query) loadExponent() float64 {
	typical := q.Engine.AnswerTokens()
	if q.Answer <= 0 || typical <= 0 {
		return 1
	}
	return min(max(typical/q.Answer, minLoadExponent), maxLoadExponent)
}

// appendCandidates appends up to maxSampled available runners for each layer range in a data centre, at their current
// cost. Larger groups are scanned from a random runner on.
func (r *Router) appendCandidates(q Query, dc centreIndex, heed bool) {
	for _, runners := range dc.ranges {
		first := 0
		if len(runners) > maxSampled {
			first = r.Random.IntN(len(runners))
		}
		appended := 0
		for n := 0; n < len(runners) && appended < maxSampled; n++ {
			runner := runners[(first+n)%len(runners)]
			if c, ok := r.candidate(q, dc.name, runner); ok {
				// Those of the next runner on a path come from the runner before it, and do not count.
				c.isAtLimit = heed && runner.from == 0 && r.Limits != nil && !r.Limits.MayTake(runner.process)
				r.candidates = append(r.candidates, c)
				appended++
			}
		}
	}
}

// candidate returns the search candidate for a runner; ok is false if the runner is avoided or full.
func (r *Router) candidate(q Query, centre string, runner indexedRunner) (c candidate, ok bool) {
	if q.Avoid[runner.name] || r.isAvoided(runner.name) || r.Exclusions != nil && r.Exclusions.IsExcluded(runner.process) {
		return c, false
	}
	used := r.used[runner.name] + r.usedByOthers(runner.name)
	if used >= runner.capacity {
		return c, false
	}
	// The estimate assumes that every other entry uses as much of the runner as this one. This is wrong while entries
	// restart, so it only raises the cost; the capacity check above relies on known usage alone. It also makes entries
	// spread their requests: if all went by the shared reports alone, they would choose the same runners until the next.
	utilization := min(max(used, r.used[runner.name]*float64(max(q.Entries, 1)))/runner.capacity, maxUtilization)
	return candidate{
		name: runner.name, process: runner.process, address: runner.address, centre: centre, from: runner.from, to: runner.to,
		layerTime: runner.layerTime * math.Pow(1-utilization, -q.loadExponent()), maxLayers: (runner.capacity - used) / max(q.Tokens, 1),
	}, true
}
