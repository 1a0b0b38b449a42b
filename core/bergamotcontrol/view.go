package bergamotcontrol

import (
	"time"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotmember"
)

// View is a read-only copy of the control state for traffic.
type View struct {
	at     time.Time
	bundle *bergamotbundle.Bundle
	fleet  *bergamotfleet.Fleet

	confirmed time.Time
	members   *bergamotmember.Picture
	short     []string
}

// NewView returns a view of a bundle, which may be nil, and a fleet.
func NewView(at time.Time, b *bergamotbundle.Bundle, f *bergamotfleet.Fleet) *View {
	return &View{at: at, bundle: b, fleet: f}
}

// WithMembers returns a copy with the hints of other entries.
func (v *View) WithMembers(p *bergamotmember.Picture) *View {
	c := *v
	c.members = p
	return &c
}

// Members returns the hints of other entries, nil when there are no peers.
func (v *View) Members() *bergamotmember.Picture { return v.members }

// Entries returns how many entries count as live, this one included.
func (v *View) Entries() int {
	if v.members == nil {
		return 1
	}
	return max(v.members.Live(), 1)
}

// Demand returns the demand for a workspace at this entry and at all; ok is false when none was announced.
func (v *View) Demand(workspace string) (s bergamotmember.Share, ok bool) {
	if v.members == nil {
		return s, false
	}
	return v.members.Share(workspace)
}

// Short returns the models for which there are fewer runners than the bundle declares, none unless this entry holds the
// lease of the placement controller; the caller must not change the slice.
func (v *View) Short() []string { return v.short }

// At returns when the view was taken.
func (v *View) At() time.Time { return v.at }

// Bundle returns the bundle in force, nil before the first is known.
func (v *View) Bundle() *bergamotbundle.Bundle { return v.bundle }

// Confirmed returns when a read of the head began that last found the bundle to be current, zero before the
// first. An entry is not ready before it, and operators see from it which entries are cut off from the table.
func (v *View) Confirmed() time.Time { return v.confirmed }

// Fleet returns the instances.
func (v *View) Fleet() *bergamotfleet.Fleet { return v.fleet }
