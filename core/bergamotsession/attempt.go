package bergamotsession

import (
	"context"
	"errors"
	"time"

	"github.com/samber/oops"

	"bergamotspur/core/bergamotchain"
	"bergamotspur/core/bergamotroute"
)

// attempt runs one plan, starting after the last delivered token.
type attempt struct {
	session   *Session
	x         *bergamotchain.Exchange
	plan      bergamotroute.Plan
	spans     []Span
	imports   [][]Import // imports of each stage, nil when everything is recomputed
	prefix    Prefix
	tokens    *[]int
	lastToken time.Time // time of the last token, or of the start of the stream
	started   bool
}

func (a *attempt) run(ctx context.Context) (err error) {
	defer func() { err = oops.In("session").Wrapf(err, "attempt %d", a.spans[0].Attempt()) }()
	if err = a.forEachSpan(func(n int) error {
		s := a.spans[n]
		return a.callWithRetry(ctx, s, func(ctx context.Context) error { return a.session.Engine.Open(ctx, s.Stage().Address(), s) })
	}); err != nil {
		return err
	}
	if err = a.importCache(ctx); err != nil {
		return err
	}
	a.started = true
	first := a.spans[0]
	err = a.callWithRetry(ctx, first, func(ctx context.Context) error {
		return a.session.Engine.Start(ctx, first.Stage().Address(), first, a.prefix)
	})
	if err != nil {
		return err
	}
	a.lastToken = a.session.Clock.Now()
	return a.readStream(ctx)
}

// importCache lets the stages import KV cache, all of them concurrently.
func (a *attempt) importCache(ctx context.Context) error {
	if a.imports == nil {
		return nil
	}
	a.session.Counter.Count("recovery.import")
	err := a.forEachSpan(func(n int) error {
		s := a.spans[n]
		for _, i := range a.imports[n] {
			ctx, cancel := context.WithTimeout(ctx, a.session.StallTimeout)
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

// forEachSpan calls f for every span concurrently, waits for all calls and returns the first error.
func (a *attempt) forEachSpan(f func(n int) error) (first error) {
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

// callWithRetry sends a command and retries it once on a new connection when no reply arrives in time.
func (a *attempt) callWithRetry(ctx context.Context, s Span, f func(ctx context.Context) error) (err error) {
	for range 2 {
		callCtx, cancel := context.WithTimeoutCause(ctx, a.session.SilenceTimeout, errSilence)
		err = f(callCtx)
		timedOut := err != nil && ctx.Err() == nil && context.Cause(callCtx) == errSilence
		cancel()
		if err == nil {
			return nil
		}
		if !timedOut {
			return NewStageError(s.Stage().Address(), err)
		}
		a.session.Counter.Count("recovery.reconnect")
	}
	return NewStageError(s.Stage().Address(), errSilence)
}

// readStream reads the token stream and reconnects after failures, up to MaxReconnects times in a row without a token.
func (a *attempt) readStream(ctx context.Context) error {
	first, last := a.spans[0], a.spans[len(a.spans)-1]
	v := NewVerifier(first.Session(), first.Attempt(), first.Start(), a.plan)
	for failures := 0; ; {
		next := v.NextPosition()
		err := a.readConnection(ctx, last, v)
		if err == nil || ctx.Err() != nil || isFinal(err) {
			return err
		}
		if v.NextPosition() > next {
			failures = 0
		}
		if failures++; failures > a.session.MaxReconnects {
			return NewStageError(last.Stage().Address(), err)
		}
		a.session.Counter.Count("recovery.reconnect")
	}
}

// isFinal reports whether a new connection to the same stage cannot help.
func isFinal(err error) bool {
	var proof proofError
	var caller callerError
	var stage *StageError
	return errors.Is(err, errStall) || errors.As(err, &proof) || errors.As(err, &caller) || errors.As(err, &stage)
}

// readConnection reads the tokens of one connection; it returns nil when the answer is complete.
func (a *attempt) readConnection(ctx context.Context, last Span, v *Verifier) (err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stallTimeout := a.session.StallTimeout
	if v.NextPosition() == a.spans[0].Start() {
		stallTimeout = a.session.FirstTokenTimeout
	}
	w := startWatchdog(a.session.Clock, a.session.SilenceTimeout, stallTimeout, a.lastToken, cancel)
	defer func() {
		w.close()
		a.lastToken = w.lastTokenTime()
	}()
	defer func() {
		if cause := context.Cause(ctx); err != nil && (cause == errStall || cause == errSilence) {
			err = cause
		}
	}()
	stream, err := a.session.Engine.Stream(ctx, last.Stage().Address(), last, v.NextPosition())
	if err != nil {
		if errors.Is(err, ErrConnectionRefused) || errors.Is(err, ErrSpanRejected) || errors.Is(err, ErrLeaving) {
			err = NewStageError(last.Stage().Address(), err)
		}
		return err
	}
	// The connection is not used again, so that an error on closing it does not affect the answer.
	defer func() { _ = stream.Close() }()
	for {
		step, err := stream.Next(ctx)
		if err != nil {
			return err
		}
		if step.IsHeartbeat() {
			w.recordHeartbeat()
			continue
		}
		w.pause()
		done, err := a.deliver(ctx, step, v)
		w.resume(a.session.StallTimeout)
		if done || err != nil {
			return err
		}
	}
}

// deliver verifies a token and passes it to the caller; done is true when the answer is complete.
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

// hasDelivered reports whether the attempt delivered a token; its stages then hold KV cache up to the last one.
func (a *attempt) hasDelivered() bool { return a.started && len(*a.tokens) > a.spans[0].Start() }
