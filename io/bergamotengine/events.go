package bergamotengine

import (
	"context"
	"fmt"

	"bergamotspur/core/bergamotprefix"
)

// EventMessage is the JSON form of one cache event.
type EventMessage struct {
	Sequence int64  `json:"sequence"`
	Added    bool   `json:"added"` // false if the block was evicted
	Block    uint64 `json:"block,string"`
}

// EventsMessage is the JSON form of the cache events that an engine still keeps.
type EventsMessage struct {
	LastSequence int64          `json:"last"` // sequence number of the newest event
	Events       []EventMessage `json:"events"`
}

// Events returns the cache events of an engine that start at sequence number from; reset reports whether its newest
// event is older than from-1, as after a restart.
func (c *Client) Events(ctx context.Context, address string, from int64) (events []bergamotprefix.Event, reset bool, err error) {
	var m EventsMessage
	if err = c.wire.Get(ctx, address, fmt.Sprintf("/events?from=%d", from), &m); err != nil {
		return nil, false, err
	}
	for _, e := range m.Events {
		events = append(events, bergamotprefix.NewEvent(e.Sequence, e.Added, e.Block))
	}
	return events, m.LastSequence < from-1, nil
}
