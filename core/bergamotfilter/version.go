package bergamotfilter

import (
	"context"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotchain"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotrequest"
)

// Versions selects the version of the model of a pipeline that new requests use.
type Versions interface {
	Version(b *bergamotbundle.Bundle, p bergamotbundle.Pipeline, f *bergamotfleet.Fleet) string
}

// Version fixes the version of the model for the whole answer, so that a retry cannot continue it with another one.
// While a new version is being loaded, requests use the version of which runners hold all layers.
type Version struct {
	Versions Versions
}

// Name returns "version".
func (f *Version) Name() string { return "version" }

// Filter sets the version and passes the exchange on.
func (f *Version) Filter(ctx context.Context, x *bergamotchain.Exchange, next bergamotchain.Handler) error {
	if x.Request().Kind() != bergamotrequest.KindService {
		v, p := x.View(), x.Pipeline()
		x.SetPipeline(p.WithVersion(f.Versions.Version(v.Bundle(), p, v.Fleet())))
	}
	return next.Handle(ctx, x)
}
