package bergamotfilter

import (
	"context"
	"errors"

	"bergamotspur/core/bergamotchain"
	"bergamotspur/core/bergamotclaim"
	"bergamotspur/core/bergamotrequest"
)

// maxIdem is the longest idempotency key in bytes; the key is part of the key of a row.
const maxIdem = 255

// Asker asks an instance of a service whether a call ran.
type Asker interface {
	Ask(ctx context.Context, address, call, name string) (ran bool, err error)
}

// Claim lets calls that may not be repeated pass at most once for each idempotency key.
type Claim struct {
	Claims *bergamotclaim.Claims
	Asker  Asker
	Clock  Clock
}

// Name returns "claim".
func (f *Claim) Name() string { return "claim" }

// Filter claims the call, passes it on and records its outcome. A caller that goes away ends none of the three.
func (f *Claim) Filter(ctx context.Context, x *bergamotchain.Exchange, next bergamotchain.Handler) error {
	r := x.Request()
	if r.Kind() != bergamotrequest.KindService || !x.Service().RunsOnce(r.Call()) {
		return next.Handle(ctx, x)
	}
	if len(r.IdempotencyKey()) > maxIdem {
		return bergamotrequest.Refuse(bergamotrequest.ReasonIdempotency, "the idempotency key is longer than %d bytes", maxIdem)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), x.Deadline().Sub(f.Clock.Now()))
	defer cancel()
	call := bergamotclaim.NewCall(x.Workspace().Name(), r, x.Deadline())
	claim, stored, err := f.Claims.Begin(ctx, call, f.ask(x, call))
	if err != nil {
		return err
	}
	if claim == nil {
		return x.Sink().Reply(ctx, stored)
	}
	return f.pass(ctx, x, next, claim)
}

// pass dispatches a claimed call and concludes the claim, also when a later handler panics.
func (f *Claim) pass(ctx context.Context, x *bergamotchain.Exchange, next bergamotchain.Handler, claim *bergamotclaim.Claim) (err error) {
	sink, kept := x.Sink(), &replyKeeper{}
	x.SetSink(kept)
	returned := false
	defer func() {
		x.SetSink(sink)
		if !returned {
			claim.Unknown(ctx)
		}
	}()
	err = next.Handle(ctx, x)
	returned = true
	switch {
	case err == nil && kept.ok:
		claim.Done(ctx, kept.reply)
		return sink.Reply(ctx, kept.reply)
	case err == nil:
		claim.Unknown(ctx)
		return bergamotrequest.Refuse(bergamotrequest.ReasonInternal, "the call ended without an answer").WithRun(bergamotrequest.RunUnknown)
	case bergamotrequest.AsRefusal(err).RunState() == bergamotrequest.RunNo:
		claim.Release(ctx)
	default:
		claim.Unknown(ctx)
	}
	return err
}

// ask returns nil when the service cannot tell the outcome of a call.
func (f *Claim) ask(x *bergamotchain.Exchange, call bergamotclaim.Call) bergamotclaim.Ask {
	if x.Service().OutcomeCall() == "" {
		return nil
	}
	return func(ctx context.Context) (ran bool, err error) {
		err = errors.New("no instance of the service answers")
		for _, i := range x.View().Fleet().ByRole(x.Service().Name()) {
			if i.Failed() {
				continue
			}
			if ran, err = f.Asker.Ask(ctx, i.Address(), x.Service().OutcomeCall(), call.Name()); ran && err == nil {
				return true, nil
			}
		}
		return false, err
	}
}

// replyKeeper keeps the answer until it is recorded.
type replyKeeper struct {
	reply bergamotrequest.Reply
	ok    bool
}

// Token is not used by service calls.
func (k *replyKeeper) Token(context.Context, bergamotrequest.Token) error {
	return errors.New("a service reply has no tokens")
}

// Reply keeps the answer.
func (k *replyKeeper) Reply(_ context.Context, r bergamotrequest.Reply) error {
	k.reply, k.ok = r, true
	return nil
}
