package bergamotentry

import (
	"context"
	"crypto/rand"
	"strings"
	"time"

	"bergamotspur/core/bergamotcontrol"
	"bergamotspur/core/bergamotlease"
)

// Times of the placement controller. The term bounds how long placement rests after the holder died; the margin
// covers the drift between two monotonic clocks.
const (
	leaseKey      = "lease-placement"
	leaseTerm     = 15 * time.Second
	leaseMargin   = 3 * time.Second
	leaseRenew    = 5 * time.Second
	placementPass = 2 * time.Second
	loadingTime   = 2 * time.Minute
	loadsAtOnce   = 4
	// Without a release the other entries wait for the term, so that a slow table must not delay the shutdown.
	releaseTimeout = time.Second
)

// leaseTimes are the times that tests shorten.
type leaseTimes struct{ term, margin, renew, pass time.Duration }

// newPlacement returns the controller that brings the runners to the bundle while this entry holds the lease.
func (e *Entry) newPlacement() *bergamotcontrol.Placement {
	t := e.times
	if t.term == 0 {
		t = leaseTimes{term: leaseTerm, margin: leaseMargin, renew: leaseRenew, pass: placementPass}
	}
	e.lease = &bergamotlease.Lease{
		Table: e.adapters.table, Clock: e.clock, Key: leaseKey, Holder: e.Setting.Name(),
		Term: t.term, Margin: t.margin, NewWriteID: rand.Text,
	}
	return &bergamotcontrol.Placement{
		Lease: e.lease, Engine: e.adapters.engines, WeightStore: e.adapters.weights, Clock: e.clock,
		RenewPeriod: t.renew, Period: t.pass, AcquireDelay: 2 * e.Setting.ProbeInterval(), OrderTimeout: loadingTime, MaxConcurrentLoads: loadsAtOnce,
		Report: e.report("placement"), Count: e.metrics.Count, OnShortage: e.short,
	}
}

// short logs a change of the models for which there are too few runners.
func (e *Entry) short(models []string) {
	if len(models) == 0 {
		e.log.Info("placement: runners hold enough memory for all models")
		return
	}
	e.log.Warn("placement: too few runners for %s, add runners or lower replicas in the bundle", strings.Join(models, ", "))
}

// releaseLease spares the other entries the wait for the end of the term.
func (e *Entry) releaseLease() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := e.lease.Release(ctx); err != nil {
		e.log.Warn("lease not released: %s", err)
	}
}
