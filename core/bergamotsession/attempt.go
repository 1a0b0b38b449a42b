package bergamotsession

import (
	"context"
	"errors"
	"time"

	"github.com/samber/oops"

	"bergamotspur/core/bergamotchain"
	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamotroute"
)

// attempt runs one plan from the last delivered token on.
type attempt struct {
	session *Session
	x       *bergamotchain.Exchange
	plan    bergamotroute.Plan
	spans   []Span
	prefix  Prefix
	tokens  *[]int
	started bool
}

func (a *attempt) run(ctx context.Context) (err error) {
	defer func() { err = oops.In("session").Wrapf(err, "attempt %d", a.spans[0].Attempt()) }()
	defer a.cancel(ctx)
	if err = a.open(ctx); err != nil {
		return err
	}
	a.started = true
	first, last := a.spans[0], a.spans[len(a.spans)-1]
	if err = a.session.Engine.Start(ctx, first.Stage().Address(), first, a.prefix); err != nil {
		return NewStageError(first.Stage().Address(), err.Error())
	}
	stream, err := a.session.Engine.Stream(ctx, last.Stage().Address(), last, last.Start())
	if err != nil {
		return NewStageError(last.Stage().Address(), err.Error())
	}
	defer func() { err = errors.Join(err, stream.Close()) }()
	return a.read(ctx, stream)
}

// open prepares all stages at the same time.
func (a *attempt) open(ctx context.Context) error {
	errs := make(chan error, len(a.spans))
	for _, s := range a.spans {
		go func() {
			err := a.session.Engine.Open(ctx, s.Stage().Address(), s)
			if err != nil {
				err = NewStageError(s.Stage().Address(), err.Error())
			}
			errs <- err
		}()
	}
	var first error
	for range a.spans {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}

func (a *attempt) read(ctx context.Context, stream TokenStream) error {
	first := a.spans[0]
	v := NewVerifier(first.Session(), first.Attempt(), first.Start(), a.plan)
	for {
		step, err := a.next(ctx, stream)
		if err != nil {
			return err
		}
		if step.Beat() {
			continue
		}
		if err = v.Check(step.Token(), step.Proof()); err != nil {
			return proofError{err}
		}
		*a.tokens = append(*a.tokens, step.Token().ID())
		if err = a.x.Sink().Token(ctx, step.Token()); err != nil {
			return callerError{err}
		}
		if step.Token().Last() || len(*a.tokens) >= a.prefix.Limit() {
			return nil
		}
	}
}

// next bounds the silence of the stream.
func (a *attempt) next(ctx context.Context, stream TokenStream) (Step, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, a.session.Stall, errStall)
	defer cancel()
	step, err := stream.Next(ctx)
	if err != nil && context.Cause(ctx) == errStall {
		return Step{}, errStall
	}
	return step, err
}

// cancel frees the spans, also when the caller's context has ended.
func (a *attempt) cancel(ctx context.Context) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer stop()
	done := make(chan struct{}, len(a.spans))
	for _, s := range a.spans {
		go func() {
			// A lost cancel is harmless: the instance drops spans that it has not stepped for a while.
			_ = a.session.Engine.Cancel(ctx, s.Stage().Address(), s)
			done <- struct{}{}
		}()
	}
	for range a.spans {
		<-done
	}
}

const cancelTimeout = time.Second

var errStall = errors.New("no message from the last stage within the silence limit")

// proofError marks a token that failed its check.
type proofError struct{ error }

// callerError marks a sink that no longer takes tokens.
type callerError struct{ error }

func reasonOf(err error) bergamotrequest.Reason {
	var proof proofError
	switch {
	case errors.As(err, &proof):
		return bergamotrequest.ReasonProof
	case errors.Is(err, errStall):
		return bergamotrequest.ReasonStall
	default:
		return bergamotrequest.ReasonTarget
	}
}
