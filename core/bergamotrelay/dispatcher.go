package bergamotrelay

import "context"

// Dispatcher is the last handler of the chain: it passes requests for a model to one handler and all other calls to
// another.
type Dispatcher struct {
	Streams Handler
	Calls   Handler
}

// Handle passes the exchange to the handler for its service.
func (h *Dispatcher) Handle(ctx context.Context, x *Exchange) error {
	if x.Service().Engine() != nil {
		x.Trace().recordHandler(layeredEvents)
		return h.Streams.Handle(ctx, x)
	}
	x.Trace().recordHandler(plainWhole)
	return h.Calls.Handle(ctx, x)
}

// Names of the handlers, by the runners of the service and by how the answer is passed on.
const (
	layeredEvents = "layered.events"
	plainWhole    = "plain.whole"
)
