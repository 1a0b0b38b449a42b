package bergamotentry

import (
	"math/rand/v2"
	"time"

	"bergamotspur/core/bergamotchain"
	"bergamotspur/core/bergamotcontrol"
	"bergamotspur/core/bergamotfilter"
	"bergamotspur/core/bergamotmember"
	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamotsession"
	"bergamotspur/core/bergamotsetting"
	"bergamotspur/core/bergamotsuspect"
	"bergamotspur/io/bergamotengine"
	"bergamotspur/io/bergamotlist"
	"bergamotspur/io/bergamotobject"
	"bergamotspur/io/bergamotservice"
	"bergamotspur/io/bergamottable"
	"bergamotspur/io/bergamotweight"
)

const (
	loopPeriod  = 50 * time.Millisecond
	probeMisses = 3
	// A silent connection must not use up the 7 s in which a bundle has to be in force.
	headTimeout = 2 * time.Second
	// A fetch starts from the beginning each time, so that a text must fit into it also on a slow link.
	textTimeout = 10 * time.Second
	reconnects  = 2 // with the silence limit of 1 s, a dead connection costs the caller at most 3 s
	// Counting the holdings of 3,100 runners for each request would take longer than choosing the path.
	versionAge  = 250 * time.Millisecond
	firstStalls = 3 // the first token of an attempt also waits for its turn and its prefill
)

// adapters are the clients of one entry to targets and platform.
type adapters struct {
	engines  *bergamotengine.Client
	services *bergamotservice.Client
	table    *bergamottable.Client
	objects  *bergamotobject.Client
	list     *bergamotlist.Client
	weights  *bergamotweight.Client
}

func newAdapters(s *bergamotsetting.Settings) *adapters {
	return &adapters{
		engines: bergamotengine.NewClient(), services: bergamotservice.NewClient(),
		table: bergamottable.NewClient(s.TableAddress()), objects: bergamotobject.NewClient(s.ObjectsAddress()),
		list: bergamotlist.NewClient(s.InstanceListAddress()), weights: bergamotweight.NewClient(s.WeightsAddress()),
	}
}

func (a *adapters) close() {
	a.engines.Close()
	a.services.Close()
	a.table.Close()
	a.objects.Close()
	a.list.Close()
	a.weights.Close()
}

// newLoop returns the control loop with its controllers.
func (e *Entry) newLoop() *bergamotcontrol.Loop {
	s := e.Setting
	controllers := []bergamotcontrol.Controller{
		&bergamotcontrol.InstanceList{Source: e.adapters.list, Period: s.PollInterval(), Random: rand.Float64, Report: e.report("instances")},
	}
	if e.peers != nil {
		controllers = append(controllers, e.peers.controller, e.peers.suspects)
	}
	// Probes come last, since those of a large fleet can fill the room for tasks.
	return &bergamotcontrol.Loop{
		Clock: e.clock, Period: loopPeriod, OnDrop: func() { e.metrics.Count("control.drops") },
		Controllers: append(controllers,
			e.newPlacement(),
			&bergamotcontrol.HeadReader{
				Source: e.source(),
				Period: s.HeadInterval(), Timeout: textTimeout, Random: rand.Float64, Report: e.report("heads"),
			},
			&bergamotcontrol.Probes{
				Source: e.adapters.engines, Entry: s.Name(), Centre: s.DataCentre(),
				Period: s.ProbeInterval(), Timeout: s.ProbeInterval(), FailureThreshold: probeMisses,
			},
			e.load.caches,
		),
	}
}

func (e *Entry) report(part string) func(err error) {
	return func(err error) {
		e.metrics.Count("control." + part + ".errors")
		e.log.Warn("%s: %s", part, err)
	}
}

// seeds returns the entries that the settings name.
func seeds(s *bergamotsetting.Settings) (out []bergamotmember.Peer) {
	for _, seed := range s.Seeds() {
		out = append(out, bergamotmember.NewPeer(seed.Name(), seed.Address()))
	}
	return out
}

// newChain returns the filter chain in the order in which a request passes it.
func (e *Entry) newChain() bergamotchain.Handler {
	return bergamotchain.NewChain(
		&bergamotfilter.Dispatch{
			Pipelines: e.session,
			Services:  &bergamotfilter.Call{Caller: e.adapters.services, Counter: e.metrics, Clock: e.clock, Retries: e.retries},
		},
		&bergamotfilter.Recover{Counter: e.metrics, Report: func(id string, v any) { e.log.Error("panic in request %s: %v", id, v) }},
		e.drain,
		bergamotfilter.Identify{},
		bergamotfilter.Resolve{},
		&bergamotfilter.Version{Versions: e.versions},
		&bergamotfilter.Deadline{Clock: e.clock},
		&bergamotfilter.Quarantine{Suspects: e.suspects},
		&bergamotfilter.Claim{Claims: e.claims, Asker: e.adapters.services, Clock: e.clock},
		e.load.limit,
		e.load.queue,
	)
}

// newSession returns the handler for pipelines.
func (e *Entry) newSession() *bergamotsession.Session {
	return &bergamotsession.Session{
		Engine: e.measuredEngine(), Router: e.load.router, Views: e.loop, Versions: e.versions,
		Observer: &bergamotcontrol.Observer{Loop: e.loop}, Suspects: e.suspects, Isolation: bergamotsuspect.NewIsolation(), Retries: e.retries,
		Counter: e.metrics, Clock: e.clock, Estimate: bergamotsession.DefaultEstimate(),
		Silence: e.Setting.SilenceTimeout(), First: firstStalls * e.Setting.StallTimeout(), Stall: e.Setting.StallTimeout(),
		Reconnects: reconnects, Attempts: e.Setting.MaxAttempts(),
	}
}

// counterNames returns the counters that exist from the start, one for each refusal and retry reason.
func counterNames() (names []string) {
	for _, r := range bergamotrequest.Reasons() {
		names = append(names, "refusal."+string(r), "retry."+string(r))
	}
	return names
}
