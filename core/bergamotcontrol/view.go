package bergamotcontrol

import (
	"time"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotmember"
)

// View is a read-only snapshot of the control state, used by traffic.
type View struct {
	takenAt time.Time
	bundle  *bergamotbundle.Bundle
	fleet   *bergamotfleet.Fleet

	confirmedAt    time.Time
	members        *bergamotmember.Snapshot
	shortOfRunners []string
}

// NewView returns a view, taken at the given time, of a bundle, which may be nil, and a fleet.
func NewView(takenAt time.Time, b *bergamotbundle.Bundle, f *bergamotfleet.Fleet) *View {
	return &View{takenAt: takenAt, bundle: b, fleet: f}
}

// WithMembers returns a copy with what is known of the other entries and their hints.
func (v *View) WithMembers(p *bergamotmember.Snapshot) *View {
	c := *v
	c.members = p
	return &c
}

// Members returns what is known of the other entries and their hints, nil when there are no peers.
func (v *View) Members() *bergamotmember.Snapshot { return v.members }

// EntryCount returns the number of live entries, including this one.
func (v *View) EntryCount() int {
	if v.members == nil {
		return 1
	}
	return max(v.members.LiveCount(), 1)
}

// Demand returns the demand for a workspace at this entry and at all entries; ok is false when none was announced.
func (v *View) Demand(workspace string) (s bergamotmember.WorkspaceDemand, ok bool) {
	if v.members == nil {
		return s, false
	}
	return v.members.WorkspaceDemand(workspace)
}

// ShortOfRunners returns the models that have fewer runners than the bundle declares, none unless this entry holds the
// lease of the placement controller; the caller must not change the slice.
func (v *View) ShortOfRunners() []string { return v.shortOfRunners }

// TakenAt returns the time at which the view was taken.
func (v *View) TakenAt() time.Time { return v.takenAt }

// Bundle returns the bundle in force, nil before the first is known.
func (v *View) Bundle() *bergamotbundle.Bundle { return v.bundle }

// ConfirmedAt returns the start time of the last read of the head that confirmed the bundle as current, zero before the
// first. An entry is not ready before that read, and an old time shows operators that an entry cannot read the table.
func (v *View) ConfirmedAt() time.Time { return v.confirmedAt }

// Fleet returns the instances.
func (v *View) Fleet() *bergamotfleet.Fleet { return v.fleet }
