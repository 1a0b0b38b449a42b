package bergamotfilter

import (
	"context"
	"errors"

	"bergamotspur/core/bergamotchain"
	"bergamotspur/core/bergamotclaim"
	"bergamotspur/core/bergamotrequest"
)

// maxIdempotencyKeyLength is in bytes. The idempotency key is part of the row key, whose length the table service
// limits.
const maxIdempotencyKeyLength = 255

// Asker asks an instance of a service whether an earlier call ran.
type Asker interface {
	Ask(ctx context.Context, address, call, name string) (ran bool, err error)
}

// Claim dispatches each non-repeatable call at most once per idempotency key.
type Claim struct {
	Claims *bergamotclaim.Claims
	Asker  Asker
	Clock  Clock
}

// Name returns "claim".
func (f *Claim) Name() string { return "claim" }

// Filter claims the call, dispatches it and records its outcome. It does all three even if the caller disconnects.
func (f *Claim) Filter(ctx context.Context, x *bergamotchain.Exchange, next bergamotchain.Handler) error {
	r := x.Request()
	if r.Kind() != bergamotrequest.KindService || !x.Service().RunsOnce(r.Call()) {
		return next.Handle(ctx, x)
	}
	if len(r.IdempotencyKey()) > maxIdempotencyKeyLength {
		return bergamotrequest.Refuse(bergamotrequest.ReasonIdempotency, "the idempotency key is longer than %d bytes", maxIdempotencyKeyLength)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), x.Deadline().Sub(f.Clock.Now()))
	defer cancel()
	call := bergamotclaim.NewCall(x.Workspace().Name(), r, x.Deadline())
	claim, stored, err := f.Claims.Begin(ctx, call, f.outcomeQuery(x, call))
	if err != nil {
		return err
	}
	if claim == nil {
		return x.Sink().Reply(ctx, stored)
	}
	return f.dispatch(ctx, x, next, claim)
}

// dispatch dispatches a claimed call and records the outcome in the claim, even if a later handler panics.
func (f *Claim) dispatch(ctx context.Context, x *bergamotchain.Exchange, next bergamotchain.Handler, claim *bergamotclaim.Claim) (err error) {
	sink, buffer := x.Sink(), &replyBuffer{}
	x.SetSink(buffer)
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
	case err == nil && buffer.hasReply:
		claim.Done(ctx, buffer.reply)
		return sink.Reply(ctx, buffer.reply)
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

// outcomeQuery returns a function that asks the instances of the service whether the call ran, or nil if the service
// has no call for that.
func (f *Claim) outcomeQuery(x *bergamotchain.Exchange, call bergamotclaim.Call) bergamotclaim.AskFunc {
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

// replyBuffer is a sink that holds the reply until the claim has recorded it.
type replyBuffer struct {
	reply    bergamotrequest.Reply
	hasReply bool
}

// Token always fails, since service calls have no tokens.
func (k *replyBuffer) Token(context.Context, bergamotrequest.Token) error {
	return errors.New("a service reply has no tokens")
}

// Reply stores the reply.
func (k *replyBuffer) Reply(_ context.Context, r bergamotrequest.Reply) error {
	k.reply, k.hasReply = r, true
	return nil
}
