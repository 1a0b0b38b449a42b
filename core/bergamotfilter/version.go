package bergamotfilter

import (
	"context"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotchain"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotrequest"
)

// Versions tells which version of a pipeline's model the instances serve.
type Versions interface {
	Version(b *bergamotbundle.Bundle, p bergamotbundle.Pipeline, f *bergamotfleet.Fleet) string
}

// Version settles the version of the model for the whole answer, so that a retry cannot continue it with another
// version. While a new version is being loaded, requests still use the one that all layers are held of.
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
