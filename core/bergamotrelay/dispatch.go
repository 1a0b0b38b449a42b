package bergamotrelay

import "context"

// Dispatch is the last handler: requests for a model go to one handler and plain calls to the other.
type Dispatch struct {
	Streams Handler
	Calls   Handler
}

// Handle picks the handler for the service of the exchange.
func (h *Dispatch) Handle(ctx context.Context, x *Exchange) error {
	if x.Service().Engine() != nil {
		return h.Streams.Handle(ctx, x)
	}
	return h.Calls.Handle(ctx, x)
}
