package bergamotrelay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"bergamotspur/core/bergamotcapacity"
	"bergamotspur/core/bergamotconfig"
	"bergamotspur/core/bergamotpath"
)

// EstimateInterval is the shortest time between two estimates of the free capacity. Reports of runners arrive up to five times
// a second from each data centre.
const EstimateInterval = 50 * time.Millisecond

// CapacityEstimates makes the estimates of free capacity that the admission uses. It runs apart from the control loop, since each
// pass of that also plans layers and so takes longer than an estimate.
type CapacityEstimates struct {
	Clock     Clock
	Views     Views
	Router    *bergamotpath.Router
	Admission *Admission
	Estimator bergamotcapacity.Estimator
	// OnOutOfRange is called once for each configuration with priorities that are out of range.
	OnOutOfRange func(version int64, routes, keys int)

	once    sync.Once
	changed chan struct{}
	unused  atomic.Pointer[bergamotconfig.Config] // the last configuration seen, if no service needs estimates with it
	config  *bergamotconfig.Config                // the last one seen
	readers map[string]*bergamotpath.LoadReader   // by service
}

// Notify asks for new estimates because runners, entries, reports or the configuration have changed, or because requests arrive.
// It does not block. It wakes nothing while the configuration gives all requests of each service the same priority, since nothing
// would use the estimates.
func (c *CapacityEstimates) Notify() {
	if config := c.Views.View().Config(); config != nil && c.unused.Load() == config {
		return
	}
	c.init()
	select {
	case c.changed <- struct{}{}:
	default: // one is due
	}
}

func (c *CapacityEstimates) init() {
	c.once.Do(func() { c.changed = make(chan struct{}, 1) })
}

// Run makes estimates after each notification, at most one every EstimateInterval, until ctx ends; it returns the error of ctx.
func (c *CapacityEstimates) Run(ctx context.Context) error {
	c.init()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.changed:
		}
		c.Step()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.Clock.After(EstimateInterval):
		}
	}
}

// Step makes an estimate for each service with a model engine whose requests can have different priorities.
func (c *CapacityEstimates) Step() {
	v := c.Views.View()
	config := v.Config()
	if config == nil || !v.HasRunnerList() {
		return
	}
	if config != c.config {
		c.config = config
		if routes, keys := config.OutOfRange(); routes+keys > 0 {
			c.OnOutOfRange(config.Version(), routes, keys)
		}
	}
	if c.readers == nil {
		c.readers = map[string]*bergamotpath.LoadReader{}
	}
	concerned := false
	for _, s := range config.Services() {
		e := s.Engine()
		if e == nil || !config.Priorities(s.Name()).Differ() {
			delete(c.readers, s.Name())
			continue
		}
		concerned = true
		r := c.readers[s.Name()]
		if r == nil {
			r = &bergamotpath.LoadReader{Router: c.Router}
			c.readers[s.Name()] = r
		}
		in := bergamotcapacity.Input{Now: c.Clock.Now(), Layers: e.Layers(), TypicalTokens: e.RequestTokens()}
		if v.HasEntryCount() {
			in.Entries = v.EntryCount()
		}
		in.Runners = r.Loads(e, s.Name(), v.Fleet())
		c.Admission.Service(s.Name()).Publish(in.Now, c.Estimator.Estimate(in))
	}
	if concerned {
		config = nil
	}
	c.unused.Store(config)
}
