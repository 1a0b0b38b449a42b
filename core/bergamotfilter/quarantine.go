package bergamotfilter

import (
	"context"

	"bergamotspur/core/bergamotchain"
	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamotsuspect"
)

// Suspects reports which contents are confirmed to make targets fail.
type Suspects interface {
	IsConfirmed(contents ...[32]byte) bool
}

// Quarantine refuses requests whose content is confirmed to make targets fail, including resent ones.
type Quarantine struct {
	Suspects Suspects
}

// Name returns "quarantine".
func (f *Quarantine) Name() string { return "quarantine" }

// Filter sets the content digest of the exchange and refuses quarantined content without running it.
func (f *Quarantine) Filter(ctx context.Context, x *bergamotchain.Exchange, next bergamotchain.Handler) error {
	if x.Request().Kind() == bergamotrequest.KindService {
		return next.Handle(ctx, x)
	}
	p := x.Pipeline()
	content := bergamotsuspect.NewDigest(p.Model().Name(), p.Model().Version(), p.Adapter(), x.Request().Prompt())
	x.SetContentDigest(content)
	if f.Suspects.IsConfirmed(content) {
		return bergamotrequest.Refuse(bergamotrequest.ReasonSuspect,
			"this prompt is quarantined for model %s version %s, because targets failed each time they ran it",
			p.Model().Name(), p.Model().Version())
	}
	return next.Handle(ctx, x)
}
