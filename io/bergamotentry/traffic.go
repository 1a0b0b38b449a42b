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
	maxQueued          = 1024            // requests waiting for one model
	priorityAging      = 5 * time.Second // wait that raises a request by one priority
	maxPrefixBlocks    = 1 << 15         // blocks of cached prompts, about 5 MB
	probesPerCacheRead = 2               // load probes of a runner per read of its cache events
)

// trafficControl holds the parts of an entry that limit, queue and route requests.
type trafficControl struct {
	router      *bergamotroute.Router
	health      *bergamothealth.Tracker
	cacheEvents *bergamotprefix.EventReader
	limiter     *bergamotadmission.Limiter
	limit       *bergamotfilter.Limit
	queue       *bergamotfilter.Queue
}

func (e *Entry) newTrafficControl() *trafficControl {
	l := &trafficControl{
		health: bergamothealth.NewTracker(), limiter: bergamotadmission.NewLimiter(),
		cacheEvents: &bergamotprefix.EventReader{
			Source: e.clients.engines, Index: bergamotprefix.NewIndex(maxPrefixBlocks),
			Period: probesPerCacheRead * e.Setting.ProbeInterval(), Timeout: e.Setting.ProbeInterval(),
		},
	}
	l.router = bergamotroute.NewRouter(e.clock, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), e.Setting.DataCentre())
	l.router.Fleet = func() *bergamotfleet.Fleet { return e.loop.View().Fleet() }
	l.router.Health, l.router.Affinity = l.health, l.cacheEvents.Index
	l.limiter.Peers = admissionPeers{entry: e}
	lengths := bergamotadmission.NewLengths()
	l.limit = &bergamotfilter.Limit{Clock: e.clock, Limiter: l.limiter, Lengths: lengths}
	l.queue = &bergamotfilter.Queue{
		Clock: e.clock, PathEstimator: l.router, Lengths: lengths, Peers: l.limiter.Peers, MaxWaiting: maxQueued, AgingPeriod: priorityAging,
	}
	return l
}

// newMeasuredEngine returns the engine client, which reports token times to the router and outcomes to the health
// tracker.
func (e *Entry) newMeasuredEngine() bergamotsession.Engine {
	r := &attemptRecorder{clock: e.clock, router: e.trafficControl.router, health: e.trafficControl.health}
	return &bergamotsession.MeasuredEngine{Engine: e.clients.engines, Recorder: r, Clock: e.clock}
}

// PipelineMessage is the JSON form of a pipeline's load.
type PipelineMessage struct {
	Name        string  `json:"name"`
	Waiting     int     `json:"waiting"` // requests in the queue of the model
	Rate        float64 `json:"rate"`    // recent tokens per second from this entry
	MaxRate     float64 `json:"bound"`   // tokens per second that the targets can generate for all entries
	Utilization float64 `json:"ratio"`   // Rate divided by this entry's even share of MaxRate
}

// pipelineMessages returns the load of each pipeline.
func (l *trafficControl) pipelineMessages(v *bergamotcontrol.View) (list []PipelineMessage) {
	b := v.Bundle()
	for _, name := range b.Pipelines() {
		p, _ := b.Pipeline(name)
		model := p.Model().Name()
		bound := l.router.MaxFlow(bergamotroute.Query{Pipeline: p, Fleet: v.Fleet(), Bundle: b}, bergamotfilter.PlannedTokenTime(p))
		m := PipelineMessage{Name: name, Waiting: l.queue.Waiting(model), Rate: l.queue.Rate(model), MaxRate: bound.Rate()}
		if m.MaxRate > 0 {
			m.Utilization = m.Rate * float64(max(l.limiter.Peers.Live(), 1)) / m.MaxRate
		}
		list = append(list, m)
	}
	return list
}
