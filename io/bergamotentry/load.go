package bergamotentry

import (
	"math/rand/v2"
	"time"

	"bergamotspur/core/bergamotadmission"
	"bergamotspur/core/bergamotcontrol"
	"bergamotspur/core/bergamotfilter"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamothealth"
	"bergamotspur/core/bergamotprefix"
	"bergamotspur/core/bergamotroute"
	"bergamotspur/core/bergamotsession"
)

const (
	queueMost   = 1024 // requests that wait for one model
	queueAge    = 5 * time.Second
	prefixMost  = 1 << 15 // blocks of cached prompts, about 5 MB
	cacheProbes = 2       // probes of the load for one read of cache events
)

// load is the parts of an entry that decide how much work runs, where and when.
type load struct {
	router  *bergamotroute.Router
	health  *bergamothealth.Tracker
	caches  *bergamotprefix.Follow
	limiter *bergamotadmission.Limiter
	limit   *bergamotfilter.Limit
	queue   *bergamotfilter.Queue
}

func (e *Entry) newLoad() *load {
	l := &load{
		health: bergamothealth.NewTracker(), limiter: bergamotadmission.NewLimiter(),
		caches: &bergamotprefix.Follow{
			Source: e.adapters.engines, Index: bergamotprefix.NewIndex(prefixMost),
			Period: cacheProbes * e.Setting.ProbeInterval(), Timeout: e.Setting.ProbeInterval(),
		},
	}
	l.router = bergamotroute.NewRouter(e.clock, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), e.Setting.DataCentre())
	l.router.Fleet = func() *bergamotfleet.Fleet { return e.loop.View().Fleet() }
	l.router.Health, l.router.Affinity = l.health, l.caches.Index
	l.limiter.Peers = entryPeers{entry: e}
	lengths := bergamotadmission.NewLengths()
	l.limit = &bergamotfilter.Limit{Clock: e.clock, Limiter: l.limiter, Lengths: lengths}
	l.queue = &bergamotfilter.Queue{
		Clock: e.clock, Capacity: l.router, Lengths: lengths, Peers: l.limiter.Peers, Most: queueMost, Age: queueAge,
	}
	return l
}

// measuredEngine returns the engine client, whose token times and failures teach the router.
func (e *Entry) measuredEngine() bergamotsession.Engine {
	o := &observer{clock: e.clock, router: e.load.router, health: e.load.health}
	return &bergamotsession.MeasuredEngine{Engine: e.adapters.engines, Learner: o, Clock: e.clock}
}

// PipelineMessage is the JSON form of the load of the model of a pipeline.
type PipelineMessage struct {
	Name    string  `json:"name"`
	Waiting int     `json:"waiting"`
	Rate    float64 `json:"rate"`  // tokens a second from this entry, lately
	Bound   float64 `json:"bound"` // most tokens a second that the targets could do for all entries
	Ratio   float64 `json:"ratio"` // rate of this entry divided by its part of the bound
}

// pipelines returns the load of each pipeline.
func (l *load) pipelines(v *bergamotcontrol.View) (list []PipelineMessage) {
	b := v.Bundle()
	for _, name := range b.Pipelines() {
		p, _ := b.Pipeline(name)
		model := p.Model().Name()
		bound := l.router.Bound(bergamotroute.Want{Pipeline: p, Fleet: v.Fleet(), Bundle: b}, bergamotfilter.TokenTime(p))
		m := PipelineMessage{Name: name, Waiting: l.queue.Waiting(model), Rate: l.queue.Rate(model), Bound: bound.Rate()}
		if m.Bound > 0 {
			m.Ratio = m.Rate * float64(max(l.limiter.Peers.Live(), 1)) / m.Bound
		}
		list = append(list, m)
	}
	return list
}
