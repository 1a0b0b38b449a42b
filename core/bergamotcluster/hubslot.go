package bergamotcluster

import (
	"context"
	"time"

	"bergamotspur/core/bergamotmirror"
)

// HubSlot is the row of a hub, or the row that a hub of that slot would have.
type HubSlot struct {
	hub      bergamotmirror.Hub
	revision int64
	age      time.Duration
}

// NewHubSlot returns the slot that a hub holds; its row has the given revision and was written age ago by the store's
// clock.
func NewHubSlot(h bergamotmirror.Hub, revision int64, age time.Duration) HubSlot {
	return HubSlot{hub: h, revision: revision, age: age}
}

// HubTable reads and writes the rows of the hubs.
type HubTable interface {
	// Hubs returns the slots that have a row.
	Hubs(ctx context.Context) ([]HubSlot, error)
	// PutHub writes the row of a hub if it has the given revision, and returns the slot as it is stored afterwards.
	PutHub(ctx context.Context, h bergamotmirror.Hub, revision int64) (s HubSlot, ok bool, err error)
}

// isLive reports whether a hub holds the slot and has registered recently.
func (s HubSlot) isLive() bool { return s.hub.Name() != "" && s.age < hubTTL }
