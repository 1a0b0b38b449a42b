package bergamotfilter

import (
	"context"

	"bergamotspur/core/bergamotchain"
	"bergamotspur/core/bergamotrequest"
)

// Dispatcher is the last handler of the chain: it passes service calls to one handler and requests for pipelines to
// another.
type Dispatcher struct {
	Pipelines bergamotchain.Handler
	Services  bergamotchain.Handler
}

// Handle passes the exchange to the handler for the kind of its request.
func (h *Dispatcher) Handle(ctx context.Context, x *bergamotchain.Exchange) error {
	if x.Request().Kind() == bergamotrequest.KindService {
		return h.Services.Handle(ctx, x)
	}
	return h.Pipelines.Handle(ctx, x)
}
