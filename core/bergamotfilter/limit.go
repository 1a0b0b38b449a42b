package bergamotfilter

import (
	"context"

	"bergamotspur/core/bergamotadmission"
	"bergamotspur/core/bergamotchain"
	"bergamotspur/core/bergamotrequest"
)

// Limit enforces the request and token rates of workspaces.
type Limit struct {
	Clock   Clock
	Limiter *bergamotadmission.Limiter
	Lengths *bergamotadmission.Lengths
}

// Name returns "limit".
func (f *Limit) Name() string { return "limit" }

// Filter refuses a request that exceeds a limit of its workspace. It charges the expected tokens first and corrects
// them to the number generated at the end.
func (f *Limit) Filter(ctx context.Context, x *bergamotchain.Exchange, next bergamotchain.Handler) error {
	w := x.Workspace()
	expected := 0.0
	if x.Request().Kind() != bergamotrequest.KindService {
		p := x.Pipeline()
		expected = f.Lengths.Expect(p.Name(), w.Name(), min(x.Request().MaxTokens(), p.MaxAnswerTokens()))
	}
	reason, retryAfter := f.Limiter.Admit(f.Clock.Now(), w, expected)
	if reason != "" {
		return bergamotrequest.Refuse(reason, "workspace %s has used up its limit of %s", w.Name(), limitName(reason)).WithRetryAfter(retryAfter)
	}
	if expected == 0 {
		return next.Handle(ctx, x)
	}
	m := &tokenCounter{Sink: x.Sink()}
	x.SetSink(m)
	defer func() { f.Limiter.ChargeTokens(f.Clock.Now(), w.Name(), float64(m.tokens)-expected) }()
	err := next.Handle(ctx, x)
	if err == nil {
		f.Lengths.Observe(x.Pipeline().Name(), w.Name(), m.tokens)
	}
	return err
}

func limitName(r bergamotrequest.Reason) string {
	if r == bergamotrequest.ReasonTokens {
		return "tokens a second"
	}
	return "requests a second"
}
