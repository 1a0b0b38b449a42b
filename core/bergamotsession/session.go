package bergamotsession

import (
	"context"
	"errors"
	"time"

	"bergamotspur/core/bergamotchain"
	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamotroute"
)

// Counter counts events by name.
type Counter interface {
	Count(name string)
}

// Session is the handler that answers requests for pipelines.
type Session struct {
	Engine   Engine
	Router   Router
	Counter  Counter
	Stall    time.Duration // longest silence of a token stream
	Attempts int           // most attempts for one answer
}

// Handle streams the answer to the sink; after a failure it goes on from the last delivered token on another path.
func (s *Session) Handle(ctx context.Context, x *bergamotchain.Exchange) error {
	var tokens []int
	run := bergamotrequest.RunNo
	avoid := map[string]bool{}
	var last error
	for n := 1; n <= s.Attempts; n++ {
		a, ok := s.attempt(x, n, &tokens, avoid)
		if !ok {
			break
		}
		last = a.run(ctx)
		s.Router.Finish(a.plan)
		if a.started {
			run = bergamotrequest.RunUnknown
		}
		if len(tokens) > 0 {
			run = bergamotrequest.RunYes
		}
		if last == nil {
			return nil
		}
		if refusal := ended(ctx, last); refusal != nil {
			return refusal.Ran(run)
		}
		s.Counter.Count("retry." + string(reasonOf(last)))
		blame(avoid, a.plan, last)
	}
	if last == nil {
		return bergamotrequest.Refuse(bergamotrequest.ReasonPath, "no path covers all layers of %s", x.Pipeline().Model().Name()).RetryAfter(time.Second)
	}
	return bergamotrequest.Refuse(reasonOf(last), "no attempt succeeded: %s", last).Ran(run).RetryAfter(time.Second)
}

func (s *Session) attempt(x *bergamotchain.Exchange, n int, tokens *[]int, avoid map[string]bool) (a *attempt, ok bool) {
	r, p := x.Request(), x.Pipeline()
	limit := min(r.Limit(), p.Limit())
	want := bergamotroute.Want{
		Pipeline: p, Fleet: x.View().Fleet(), Bundle: x.View().Bundle(), Avoid: avoid,
		Tokens: limit - len(*tokens), Prompt: r.Prompt(),
	}
	plan, ok := s.Router.Route(want)
	if !ok {
		return nil, false
	}
	a = &attempt{session: s, x: x, plan: plan, tokens: tokens, prefix: NewPrefix(r.Prompt(), *tokens, limit, r.Seed())}
	spec := SpanSpec{
		Session: r.ID(), Attempt: n, Model: p.Model().Name(), Version: p.Model().Version(),
		Adapter: p.Adapter(), Start: len(*tokens), Plan: plan,
	}
	for i := range plan.Stages() {
		a.spans = append(a.spans, NewSpan(spec, i))
	}
	x.AddPath(plan.Instances()...)
	return a, true
}

// ended returns a refusal when no further attempt makes sense.
func ended(ctx context.Context, err error) *bergamotrequest.Refusal {
	var caller callerError
	switch {
	case errors.As(err, &caller), errors.Is(ctx.Err(), context.Canceled):
		return bergamotrequest.Refuse(bergamotrequest.ReasonCancel, "the caller went away")
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return bergamotrequest.Refuse(bergamotrequest.ReasonDeadline, "the deadline passed")
	default:
		return nil
	}
}

// blame excludes the instance that failed, or the whole path when it is not known which one did.
func blame(avoid map[string]bool, p bergamotroute.Plan, err error) {
	var stage *StageError
	known := errors.As(err, &stage)
	for _, s := range p.Stages() {
		if !known || s.Address() == stage.Address() {
			avoid[s.Instance()] = true
		}
	}
}
