package bergamotfilter

import (
	"context"

	"bergamotspur/core/bergamotchain"
	"bergamotspur/core/bergamotrequest"
)

// Dispatch is the last handler: it hands service calls to one handler and all else to the other.
type Dispatch struct {
	Pipelines bergamotchain.Handler
	Services  bergamotchain.Handler
}

// Handle picks the handler for the kind of the request.
func (h *Dispatch) Handle(ctx context.Context, x *bergamotchain.Exchange) error {
	if x.Request().Kind() == bergamotrequest.KindService {
		return h.Services.Handle(ctx, x)
	}
	return h.Pipelines.Handle(ctx, x)
}
