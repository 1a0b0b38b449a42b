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
	loopPeriod            = 50 * time.Millisecond
	probeFailureThreshold = 3
	// One hanging connection must not use up the 7 s within which a bundle has to be in force.
	headTimeout = 2 * time.Second
	// A fetch does not resume, so that a whole bundle text must arrive within it even on a slow link.
	textTimeout   = 10 * time.Second
	maxReconnects = 2 // with the silence timeout of 1 s, a dead connection delays the caller by at most 3 s
	// The version of a model to use is cached: counting the layers held by 3,100 runners for each request would take
	// longer than choosing the path.
	maxVersionAge    = 250 * time.Millisecond
	firstTokenStalls = 3 // in stall timeouts, since the first token also waits in the runner's queue and for the prefill
)

// clients holds the clients through which an entry reaches the targets and the platform.
type clients struct {
	engines  *bergamotengine.Client
	services *bergamotservice.Client
	table    *bergamottable.Client
	objects  *bergamotobject.Client
	list     *bergamotlist.Client
	weights  *bergamotweight.Client
}

func newClients(s *bergamotsetting.Settings) *clients {
	return &clients{
		engines: bergamotengine.NewClient(), services: bergamotservice.NewClient(),
		table: bergamottable.NewClient(s.TableAddress()), objects: bergamotobject.NewClient(s.ObjectsAddress()),
		list: bergamotlist.NewClient(s.InstanceListAddress()), weights: bergamotweight.NewClient(s.WeightsAddress()),
	}
}

func (c *clients) close() {
	c.engines.Close()
	c.services.Close()
	c.table.Close()
	c.objects.Close()
	c.list.Close()
	c.weights.Close()
}

// newLoop returns the control loop with its controllers.
func (e *Entry) newLoop() *bergamotcontrol.Loop {
	s := e.Setting
	controllers := []bergamotcontrol.Controller{
		&bergamotcontrol.InstanceList{Source: e.clients.list, Period: s.PollInterval(), Random: rand.Float64, OnError: e.errorReporter("instances")},
	}
	if e.peers != nil {
		controllers = append(controllers, e.peers.members, e.peers.suspects)
	}
	// Probes come last, since those of a large fleet can use up the task slots of the loop.
	return &bergamotcontrol.Loop{
		Clock: e.clock, Period: loopPeriod, OnDrop: func() { e.metrics.Count("control.drops") },
		Controllers: append(controllers,
			e.newPlacement(),
			&bergamotcontrol.HeadReader{
				Source: e.newBundleSource(),
				Period: s.HeadInterval(), Timeout: textTimeout, Random: rand.Float64, OnError: e.errorReporter("heads"),
			},
			&bergamotcontrol.Probes{
				Source: e.clients.engines, Entry: s.Name(), Centre: s.DataCentre(),
				Period: s.ProbeInterval(), Timeout: s.ProbeInterval(), FailureThreshold: probeFailureThreshold,
			},
			e.trafficControl.cacheEvents,
		),
	}
}

func (e *Entry) errorReporter(part string) func(err error) {
	return func(err error) {
		e.metrics.Count("control." + part + ".errors")
		e.log.Warn("%s: %s", part, err)
	}
}

// seedPeers returns the entries that the settings name as first contacts.
func seedPeers(s *bergamotsetting.Settings) (out []bergamotmember.Peer) {
	for _, seed := range s.Seeds() {
		out = append(out, bergamotmember.NewPeer(seed.Name(), seed.Address()))
	}
	return out
}

// newChain returns the filter chain in the order in which a request passes the filters.
func (e *Entry) newChain() bergamotchain.Handler {
	return bergamotchain.NewChain(
		&bergamotfilter.Dispatcher{
			Pipelines: e.session,
			Services:  &bergamotfilter.CallHandler{Caller: e.clients.services, Counter: e.metrics, Clock: e.clock, Retries: e.retries},
		},
		&bergamotfilter.Recovery{Counter: e.metrics, Report: func(id string, v any) { e.log.Error("panic in request %s: %v", id, v) }},
		e.drain,
		bergamotfilter.Authenticator{},
		bergamotfilter.Resolver{},
		&bergamotfilter.Version{Versions: e.versions},
		&bergamotfilter.Deadline{Clock: e.clock},
		&bergamotfilter.Quarantine{Suspects: e.suspects},
		&bergamotfilter.Claim{Claims: e.claims, Asker: e.clients.services, Clock: e.clock},
		e.trafficControl.limit,
		e.trafficControl.queue,
	)
}

// newSession returns the handler of requests for pipelines.
func (e *Entry) newSession() *bergamotsession.Session {
	return &bergamotsession.Session{
		Engine: e.newMeasuredEngine(), Router: e.trafficControl.router, Views: e.loop, Versions: e.versions,
		Observer: &bergamotcontrol.Observer{Loop: e.loop}, Suspects: e.suspects, Isolation: bergamotsuspect.NewIsolation(), Retries: e.retries,
		Counter: e.metrics, Clock: e.clock, Estimate: bergamotsession.DefaultEstimate(),
		SilenceTimeout: e.Setting.SilenceTimeout(), FirstTokenTimeout: firstTokenStalls * e.Setting.StallTimeout(), StallTimeout: e.Setting.StallTimeout(),
		MaxReconnects: maxReconnects, MaxAttempts: e.Setting.MaxAttempts(),
	}
}

// counterNames returns the counters that exist from the start, one for each refusal and retry reason.
func counterNames() (names []string) {
	for _, r := range bergamotrequest.Reasons() {
		names = append(names, "refusal."+string(r), "retry."+string(r))
	}
	return names
}
