package bergamotcluster

import (
	"context"
	"slices"
	"time"

	"bergamotspur/core/bergamotmirror"
)

// HubSlot is the row of a hub, or the row that a hub of that slot would have.
type HubSlot struct {
	hub      bergamotmirror.Hub
	revision int64
	age      time.Duration
	era      int64 // of the store when the row was read or written, 0 if it is not known
}

// NewHubSlot returns the slot that a hub holds; its row has the given revision and was written age ago by the store's
// clock.
func NewHubSlot(h bergamotmirror.Hub, revision int64, age time.Duration) HubSlot {
	return HubSlot{hub: h, revision: revision, age: age}
}

// In returns the slot as it was read in an era of the store.
func (s HubSlot) In(era int64) HubSlot {
	s.era = era
	return s
}

// HubTable reads and writes the rows of the hubs.
type HubTable interface {
	// Hubs returns the slots that have a row.
	Hubs(ctx context.Context) ([]HubSlot, error)
	// PutHub writes the row of a hub if it has the given revision, and returns the slot as it is stored afterwards.
	PutHub(ctx context.Context, h bergamotmirror.Hub, revision int64) (s HubSlot, ok bool, err error)
}

// isRestored reports whether the store was restored from an older copy between the reads of two slots.
func (s HubSlot) isRestored(before HubSlot) bool {
	return s.era != before.era && s.era != 0 && before.era != 0
}

// isLive reports whether a hub holds the slot and has registered recently.
func (s HubSlot) isLive() bool { return s.hub.Name() != "" && s.age < hubTTL }

// freeSlot returns the slot of the data centre that this entry should take; ok is false if all are taken. A slot that an
// earlier process of this entry held is its own, and its count of entries holds until the entries follow it again.
func (c *Hubs) freeSlot(slots []HubSlot, self bergamotmirror.Peer) (free HubSlot, ok bool) {
	var candidates []HubSlot
	for n := range hubsPerCentre {
		slot := HubSlot{hub: bergamotmirror.NewHub(self, c.Centre, n, 0)}
		taken := false
		for _, held := range slots {
			if held.hub.Centre() != c.Centre || held.hub.Slot() != n {
				continue
			}
			slot.revision = held.revision
			if held.hub.Name() == self.Name() {
				slot.hub = bergamotmirror.NewHub(self, c.Centre, n, held.hub.Entries())
				return slot, true
			}
			taken = held.isLive()
		}
		if !taken {
			candidates = append(candidates, slot)
		}
	}
	if len(candidates) == 0 {
		return free, false
	}
	return candidates[int(c.Random()*float64(len(candidates)))], true
}

// withSlot returns the slots with one added or replaced.
func (c *Hubs) withSlot(slots []HubSlot, stored HubSlot) []HubSlot {
	out := slices.DeleteFunc(slices.Clone(slots), func(s HubSlot) bool {
		return s.hub.Centre() == stored.hub.Centre() && s.hub.Slot() == stored.hub.Slot()
	})
	return append(out, stored)
}

// isSettled reports whether no other hub counts the entries that will read through an entry that becomes a hub: its earlier
// process is still registered, or no hub counts any.
func isSettled(slots []HubSlot, name string) bool {
	counting := slices.DeleteFunc(slices.Clone(slots), func(s HubSlot) bool { return !s.isLive() || s.hub.Entries() == 0 })
	return len(counting) == 0 || slices.ContainsFunc(counting, func(s HubSlot) bool { return s.hub.Name() == name })
}
