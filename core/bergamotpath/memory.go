package bergamotpath

import (
	"time"

	"bergamotspur/core/bergamotroute"
)

const (
	// fullShare is the part of a runner's memory for requests above which it gets no more work: the estimate of the
	// work of other entries is rough, and a runner without memory preempts running streams.
	fullShare = 0.9
	// reportLife is the time over which a report of the work of other entries fades. Longer ones keep
	// requests from a runner whose streams have ended, shorter ones repeat rejections.
	reportLife = 700 * time.Millisecond
	// probeShare is the estimated part of the memory in use above which a report is worth its price.
	probeShare  = 0.7
	reportFresh = 350 * time.Millisecond // age up to which a report need not be repeated; reports lag some 200 ms themselves
)

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

// Bottleneck returns the runner of a plan that is closest to the end of its memory, if that is near and no fresh report
// of it is known.
func (r *Router) Bottleneck(p bergamotroute.Plan, w Want) (runner, address string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	most := probeShare
	for _, s := range p.Stages() {
		i, known := w.Fleet.Instance(s.Instance())
		if !known || r.Clock.Now().Sub(r.others[s.Instance()].at) < reportFresh {
			continue
		}
		room, _ := room(w.Engine, i)
		if share := r.used[s.Instance()] * float64(max(w.Entries, 1)) / max(room, 1); share > most {
			runner, address, most, ok = s.Instance(), s.Address(), share, true
		}
	}
	return runner, address, ok
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
