package bergamotcluster

import (
	"time"

	"bergamotspur/core/bergamotconfig"
	"bergamotspur/core/bergamotfleet"
)

// View is a read-only copy of the control state for traffic.
type View struct {
	at        time.Time
	config    *bergamotconfig.Config
	confirmed time.Duration
	fleet     *bergamotfleet.Fleet
	entries   int
	listed    bool
	holder    bool
}

// NewView returns a view of a configuration, which may be nil, that was confirmed at a time of the clock that counts
// suspended time, and of the runners.
func NewView(c *bergamotconfig.Config, confirmed time.Duration, f *bergamotfleet.Fleet) *View {
	return &View{config: c, confirmed: confirmed, fleet: f, entries: 1, listed: true}
}

// At returns when the view was taken.
func (v *View) At() time.Time { return v.at }

// Config returns the configuration in force, nil before the first is known.
func (v *View) Config() *bergamotconfig.Config { return v.config }

// Confirmed returns when the configuration was last known to be current, on the clock that counts suspended time.
func (v *View) Confirmed() time.Duration { return v.confirmed }

// Fleet returns the runners.
func (v *View) Fleet() *bergamotfleet.Fleet { return v.fleet }

// Entries returns how many entries share the runners, this one included.
func (v *View) Entries() int { return v.entries }

// Listed tells whether the list of runners has been read.
func (v *View) Listed() bool { return v.listed }

// Holder tells whether this entry places layers.
func (v *View) Holder() bool { return v.holder }
