package bergamotpath

import (
	"time"

	"bergamotspur/core/bergamotroute"
)

const (
	// maxMemoryShare is the share of a runner's memory for requests above which it gets no new requests. The rest is a
	// margin, since the usage by other entries is only a rough estimate and a runner that runs out of memory preempts
	// running streams.
	maxMemoryShare = 0.9
	// reportDecay is the time in which the usage by other entries in a report decays to zero. A longer decay keeps
	// requests from a runner whose streams have ended; a shorter one leads to repeated rejections.
	reportDecay = 700 * time.Millisecond
	// minProbeUtilization is the estimated memory utilization above which the cost of asking a runner for a report
	// pays off.
	minProbeUtilization = 0.7
	maxFreshAge         = 350 * time.Millisecond // age up to which a report is fresh; reports lag by about 200 ms themselves
	// sharedTTL is the age up to which a report that entries share is used. The next one of a busy runner is due before.
	sharedTTL = 1500 * time.Millisecond
)

// usageReport is the memory that requests of other entries use on a runner.
type usageReport struct {
	used   float64 // token-layers
	own    float64 // token-layers that requests of this entry used when the report was recorded
	at     time.Time
	shared bool // the entries share reports of the runner, so that the next one is due soon
}

// RecordUsage records the memory, in token-layers, that the requests of all entries use on a runner according to its
// report.
func (r *Router) RecordUsage(runner string, used float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.otherUsage == nil {
		r.otherUsage = map[string]usageReport{}
	}
	r.otherUsage[runner] = usageReport{used: max(used-r.used[runner], 0), own: r.used[runner], at: r.Clock.Now()}
}

// RecordShared is RecordUsage for a report that entries share and that has the given age.
func (r *Router) RecordShared(runner string, used float64, age time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.otherUsage == nil {
		r.otherUsage = map[string]usageReport{}
	}
	at := r.Clock.Now().Add(-age)
	if age < sharedTTL && !at.Before(r.otherUsage[runner].at) {
		r.otherUsage[runner] = usageReport{used: max(used-r.used[runner], 0), own: r.used[runner], at: at, shared: true}
	}
}

// hasShared reports whether a report of the runner that entries share is in use.
func (r *Router) hasShared(runner string) bool {
	o, ok := r.otherUsage[runner]
	return ok && o.shared && r.Clock.Now().Sub(o.at) < sharedTTL
}

// FullestRunner returns the runner of a plan with the highest estimated memory utilization among those without a fresh
// report and without a limit; ok is false if none of them is nearly full.
func (r *Router) FullestRunner(p bergamotroute.Plan, q Query) (runner, address string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	highest := minProbeUtilization
	for _, s := range p.Stages() {
		i, known := q.Fleet.Instance(s.Instance())
		if !known || r.Limits != nil && r.Limits.IsLimited(i.Process()) || r.hasShared(s.Instance()) || r.Clock.Now().Sub(r.otherUsage[s.Instance()].at) < maxFreshAge {
			continue
		}
		capacity, _ := capacity(q.Engine, i)
		if utilization := r.used[s.Instance()] * float64(max(q.Entries, 1)) / max(capacity, 1); utilization > highest {
			runner, address, highest, ok = s.Instance(), s.Address(), utilization, true
		}
	}
	return runner, address, ok
}

// Release frees the memory that Route reserved for tokens.
func (r *Router) Release(p bergamotroute.Plan, tokens float64) {
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

// usedByOthers returns the token-layers of other entries on a runner from its last report, decayed linearly with the age
// of the report unless the entries share it.
func (r *Router) usedByOthers(runner string) float64 {
	o, ok := r.otherUsage[runner]
	if !ok {
		return 0
	}
	age := r.Clock.Now().Sub(o.at)
	if o.shared && age < sharedTTL {
		return o.used
	}
	if age >= reportDecay {
		delete(r.otherUsage, runner)
		return 0
	}
	return o.used * (1 - float64(age)/float64(reportDecay))
}
