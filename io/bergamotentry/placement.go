package bergamotentry

import (
	"context"
	"crypto/rand"
	"strings"
	"time"

	"bergamotspur/core/bergamotcontrol"
	"bergamotspur/core/bergamotlease"
)

// Times and bounds of the placement controller. The term of the lease bounds how long placement pauses after its holder
// died; the margin covers the drift between the monotonic clocks of two entries.
const (
	leaseKey           = "lease-placement"
	leaseTerm          = 15 * time.Second
	leaseMargin        = 3 * time.Second
	leaseRenewPeriod   = 5 * time.Second
	placementPeriod    = 2 * time.Second
	loadTimeout        = 2 * time.Minute
	maxConcurrentLoads = 4
	// A slow table must not delay the shutdown: without a release, the other entries only wait for the end of the term.
	releaseTimeout = time.Second
)

// placementTimes are the times of the lease and the placement controller, which tests shorten.
type placementTimes struct{ term, margin, renewPeriod, reconcilePeriod time.Duration }

// newPlacement returns the controller that makes runners load and unload layers as the bundle demands while this entry
// holds the lease.
func (e *Entry) newPlacement() *bergamotcontrol.Placement {
	t := e.timing
	if t.term == 0 {
		t = placementTimes{term: leaseTerm, margin: leaseMargin, renewPeriod: leaseRenewPeriod, reconcilePeriod: placementPeriod}
	}
	e.lease = &bergamotlease.Lease{
		Table: e.clients.table, Clock: e.clock, Key: leaseKey, Holder: e.Setting.Name(),
		Term: t.term, Margin: t.margin, NewWriteID: rand.Text,
	}
	return &bergamotcontrol.Placement{
		Lease: e.lease, Engine: e.clients.engines, WeightStore: e.clients.weights, Clock: e.clock,
		RenewPeriod: t.renewPeriod, Period: t.reconcilePeriod, AcquireDelay: 2 * e.Setting.ProbeInterval(), OrderTimeout: loadTimeout, MaxConcurrentLoads: maxConcurrentLoads,
		OnError: e.errorReporter("placement"), Count: e.metrics.Count, OnShortage: e.logShortage,
	}
}

// logShortage logs the models for which there are too few runners; it is called when they change.
func (e *Entry) logShortage(models []string) {
	if len(models) == 0 {
		e.log.Info("placement: runners hold enough memory for all models")
		return
	}
	e.log.Warn("placement: too few runners for %s, add runners or lower replicas in the bundle", strings.Join(models, ", "))
}

// releaseLease gives up the lease, so that another entry can take it before the end of the term.
func (e *Entry) releaseLease() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := e.lease.Release(ctx); err != nil {
		e.log.Warn("lease not released: %s", err)
	}
}
