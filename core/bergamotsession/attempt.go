package bergamotsession

import (
	"context"
	"errors"
	"time"

	"github.com/samber/oops"

	"bergamotspur/core/bergamotchain"
	"bergamotspur/core/bergamotroute"
)

// attempt runs one plan from the last delivered token on.
type attempt struct {
	session *Session
	x       *bergamotchain.Exchange
	plan    bergamotroute.Plan
	spans   []Span
	imports [][]Import // for each stage, nil when all is recomputed
	prefix  Prefix
	tokens  *[]int
	token   time.Time // when the last token came, or the stream began
	started bool
}

func (a *attempt) run(ctx context.Context) (err error) {
	defer func() { err = oops.In("session").Wrapf(err, "attempt %d", a.spans[0].Attempt()) }()
	if err = a.each(func(n int) error {
		s := a.spans[n]
		return a.call(ctx, s, func(ctx context.Context) error { return a.session.Engine.Open(ctx, s.Stage().Address(), s) })
	}); err != nil {
		return err
	}
	if err = a.pull(ctx); err != nil {
		return err
	}
	a.started = true
	first := a.spans[0]
	err = a.call(ctx, first, func(ctx context.Context) error {
		return a.session.Engine.Start(ctx, first.Stage().Address(), first, a.prefix)
	})
	if err != nil {
		return err
	}
	a.token = a.session.Clock.Now()
	return a.read(ctx)
}

// pull has the stages import KV cache, all at the same time.
func (a *attempt) pull(ctx context.Context) error {
	if a.imports == nil {
		return nil
	}
	a.session.Counter.Count("recovery.import")
	err := a.each(func(n int) error {
		s := a.spans[n]
		for _, i := range a.imports[n] {
			ctx, cancel := context.WithTimeout(ctx, a.session.Stall)
			err := a.session.Engine.Import(ctx, s.Stage().Address(), s, i)
			cancel()
			if err != nil {
				return NewStageError(s.Stage().Address(), err)
			}
		}
		return nil
	})
	if err != nil {
		return importError{err}
	}
	return nil
}

// each runs f for every stage at the same time and returns one of the errors.
func (a *attempt) each(f func(n int) error) (first error) {
	errs := make(chan error, len(a.spans))
	for n := range a.spans {
		go func() { errs <- f(n) }()
	}
	for range a.spans {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// call sends a command and repeats it once on a new connection when there is no answer.
func (a *attempt) call(ctx context.Context, s Span, f func(ctx context.Context) error) (err error) {
	for range 2 {
		bounded, cancel := context.WithTimeoutCause(ctx, a.session.Silence, errSilence)
		err = f(bounded)
		silent := err != nil && ctx.Err() == nil && context.Cause(bounded) == errSilence
		cancel()
		if err == nil {
			return nil
		}
		if !silent {
			return NewStageError(s.Stage().Address(), err)
		}
		a.session.Counter.Count("recovery.reconnect")
	}
	return NewStageError(s.Stage().Address(), errSilence)
}

// read follows the token stream over as many connections as are needed.
func (a *attempt) read(ctx context.Context) error {
	first, last := a.spans[0], a.spans[len(a.spans)-1]
	v := NewVerifier(first.Session(), first.Attempt(), first.Start(), a.plan)
	for failures := 0; ; {
		next := v.Next()
		err := a.follow(ctx, last, v)
		if err == nil || ctx.Err() != nil || isFinal(err) {
			return err
		}
		if v.Next() > next {
			failures = 0
		}
		if failures++; failures > a.session.Reconnects {
			return NewStageError(last.Stage().Address(), err)
		}
		a.session.Counter.Count("recovery.reconnect")
	}
}

// isFinal tells whether a new connection to the same stage cannot help.
func isFinal(err error) bool {
	var proof proofError
	var caller callerError
	var stage *StageError
	return errors.Is(err, errStall) || errors.As(err, &proof) || errors.As(err, &caller) || errors.As(err, &stage)
}

// follow reads one connection; nil means that the answer is complete.
func (a *attempt) follow(ctx context.Context, last Span, v *Verifier) (err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := a.session.Stall
	if v.Next() == a.spans[0].Start() {
		stall = a.session.First
	}
	w := startWatch(a.session.Clock, a.session.Silence, stall, a.token, cancel)
	defer func() {
		w.close()
		a.token = w.lastToken()
	}()
	defer func() {
		if cause := context.Cause(ctx); err != nil && (cause == errStall || cause == errSilence) {
			err = cause
		}
	}()
	stream, err := a.session.Engine.Stream(ctx, last.Stage().Address(), last, v.Next())
	if err != nil {
		if errors.Is(err, ErrRefused) || errors.Is(err, ErrSpan) || errors.Is(err, ErrLeaving) {
			err = NewStageError(last.Stage().Address(), err)
		}
		return err
	}
	// The connection is given up in any case, so that an error of closing it says nothing about the answer.
	defer func() { _ = stream.Close() }()
	for {
		step, err := stream.Next(ctx)
		if err != nil {
			return err
		}
		if step.Beat() {
			w.beat()
			continue
		}
		w.pause()
		done, err := a.deliver(ctx, step, v)
		w.resume(a.session.Stall)
		if done || err != nil {
			return err
		}
	}
}

// deliver checks a token and hands it to the caller; done means that the answer is complete.
func (a *attempt) deliver(ctx context.Context, step Step, v *Verifier) (done bool, err error) {
	if err = v.Check(step.Token(), step.Proof()); err != nil {
		return false, proofError{err}
	}
	if err = a.x.Sink().Token(ctx, step.Token()); err != nil {
		return false, callerError{err}
	}
	*a.tokens = append(*a.tokens, step.Token().ID())
	return step.Token().IsLast() || len(*a.tokens) >= a.prefix.Limit(), nil
}

// advanced tells whether the attempt delivered a token, so that its stages hold KV cache up to the last one.
func (a *attempt) advanced() bool { return a.started && len(*a.tokens) > a.spans[0].Start() }
