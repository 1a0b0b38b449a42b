package bergamotcluster

import (
	"time"

	"bergamotspur/core/bergamotconfig"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotlease"
)

// View is a read-only copy of the control state that request handlers use.
type View struct {
	takenAt       time.Time
	config        *bergamotconfig.Config
	confirmedAt   time.Duration
	fleet         *bergamotfleet.Fleet
	entryCount    int
	hasRunnerList bool
	grant         bergamotlease.Grant
	leaseHolder   string
	counted       bool
}

// NewView returns a view of a configuration, which may be nil, and of the runners. The configuration was last confirmed
// at the given time of the clock that counts suspended time.
func NewView(c *bergamotconfig.Config, confirmedAt time.Duration, f *bergamotfleet.Fleet) *View {
	return &View{config: c, confirmedAt: confirmedAt, fleet: f, entryCount: 1, hasRunnerList: true}
}

// WithEntries returns a copy of v in which the entries have been counted.
func (v *View) WithEntries(n int) *View {
	out := *v
	out.entryCount, out.counted = n, true
	return &out
}

// TakenAt returns when the view was taken.
func (v *View) TakenAt() time.Time { return v.takenAt }

// Config returns the configuration in force, nil before the first is known.
func (v *View) Config() *bergamotconfig.Config { return v.config }

// ConfirmedAt returns when the configuration was last known to be current, on the clock that counts suspended time.
func (v *View) ConfirmedAt() time.Duration { return v.confirmedAt }

// Fleet returns the runners.
func (v *View) Fleet() *bergamotfleet.Fleet { return v.fleet }

// EntryCount returns how many entries share the runners, including this one.
func (v *View) EntryCount() int { return v.entryCount }

// HasEntryCount reports whether the entries have been counted; until then EntryCount is 1.
func (v *View) HasEntryCount() bool { return v.counted }

// HasRunnerList reports whether the list of runners has been read.
func (v *View) HasRunnerList() bool { return v.hasRunnerList }

// HoldsPlacementLease reports whether this entry held the lease to place layers when the view was taken.
func (v *View) HoldsPlacementLease() bool { return v.grant.Valid(v.takenAt) }

// PlacementGrant returns the lease to place layers as this entry holds it.
func (v *View) PlacementGrant() bergamotlease.Grant { return v.grant }

// LeaseHolder returns the address at which other entries reach the holder of that lease, empty if it is not known.
func (v *View) LeaseHolder() string { return v.leaseHolder }
