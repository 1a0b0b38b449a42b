package bergamotfilter

import (
	"context"

	"bergamotspur/core/bergamotchain"
	"bergamotspur/core/bergamotrequest"
)

// Resolver looks up the pipeline or service of a request and checks that the workspace may use it.
type Resolver struct{}

// Name returns "resolve".
func (Resolver) Name() string { return "resolve" }

// Filter refuses unknown pipelines, services and calls, those that the workspace may not use, and non-repeatable calls
// without an idempotency key.
func (f Resolver) Filter(ctx context.Context, x *bergamotchain.Exchange, next bergamotchain.Handler) error {
	resolve := f.resolvePipeline
	if x.Request().Kind() == bergamotrequest.KindService {
		resolve = f.resolveService
	}
	if refusal := resolve(x); refusal != nil {
		return refusal
	}
	return next.Handle(ctx, x)
}

func (Resolver) resolvePipeline(x *bergamotchain.Exchange) *bergamotrequest.Refusal {
	name := x.Request().Model()
	p, ok := x.View().Bundle().Pipeline(name)
	if !ok {
		return bergamotrequest.Refuse(bergamotrequest.ReasonModel, "no pipeline or adapter is called %q", name)
	}
	if !x.Workspace().CanUsePipeline(name) {
		return bergamotrequest.Refuse(bergamotrequest.ReasonAccess, "workspace %s may not use %q", x.Workspace().Name(), name)
	}
	x.SetPipeline(p)
	return nil
}

func (Resolver) resolveService(x *bergamotchain.Exchange) *bergamotrequest.Refusal {
	r := x.Request()
	s, ok := x.View().Bundle().Service(r.Service())
	if !ok || !s.HasCall(r.Call()) {
		return bergamotrequest.Refuse(bergamotrequest.ReasonService, "no service offers %s/%s", r.Service(), r.Call())
	}
	if !x.Workspace().CanUseService(s.Name()) {
		return bergamotrequest.Refuse(bergamotrequest.ReasonAccess, "workspace %s may not call %q", x.Workspace().Name(), s.Name())
	}
	if s.RunsOnce(r.Call()) && r.IdempotencyKey() == "" {
		return bergamotrequest.Refuse(bergamotrequest.ReasonIdempotency, "call %s/%s needs an Idempotency-Key header", s.Name(), r.Call())
	}
	x.SetService(s)
	return nil
}
