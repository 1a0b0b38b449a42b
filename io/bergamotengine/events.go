package bergamotengine

import (
	"context"
	"fmt"

	"bergamotspur/core/bergamotprefix"
)

// EventMessage is the JSON form of one cache event.
type EventMessage struct {
	Sequence int64  `json:"sequence"`
	Added    bool   `json:"added"`
	Block    uint64 `json:"block,string"`
}

// EventsMessage is the JSON form of the cache events that an engine still has; Last is the number of its newest one.
type EventsMessage struct {
	Last   int64          `json:"last"`
	Events []EventMessage `json:"events"`
}

// Events returns the cache events of an engine from a number on; reset tells that the engine never reached it.
func (c *Client) Events(ctx context.Context, address string, from int64) (events []bergamotprefix.Event, reset bool, err error) {
	var m EventsMessage
	if err = c.wire.Get(ctx, address, fmt.Sprintf("/events?from=%d", from), &m); err != nil {
		return nil, false, err
	}
	for _, e := range m.Events {
		events = append(events, bergamotprefix.NewEvent(e.Sequence, e.Added, e.Block))
	}
	return events, m.Last < from-1, nil
}
