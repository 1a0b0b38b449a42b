package bergamotsession

import (
	"context"
	"errors"
	"time"

	"bergamotspur/core/bergamotroute"
)

// Observer learns from what an entry sees of attempts.
type Observer interface {
	Observe(p bergamotroute.Plan, token time.Duration)
	Failed(p bergamotroute.Plan, address string) // address of the instance, empty when it is not known which one failed
	Succeeded(p bergamotroute.Plan)
}

// Clock tells the time.
type Clock interface {
	Now() time.Time
}

// Watch is an engine that reports token times and failures of another engine to an observer.
type Watch struct {
	Engine
	Observer Observer
	Clock    Clock
}

// Open opens a span and reports a failure.
func (w *Watch) Open(ctx context.Context, address string, s Span) error {
	err := w.Engine.Open(ctx, address, s)
	w.note(ctx, s, address, err)
	return err
}

// Start starts an attempt and reports a failure.
func (w *Watch) Start(ctx context.Context, address string, s Span, p Prefix) error {
	err := w.Engine.Start(ctx, address, s, p)
	w.note(ctx, s, address, err)
	return err
}

// Stream opens a token stream whose times and failures are reported.
func (w *Watch) Stream(ctx context.Context, address string, s Span, from int) (TokenStream, error) {
	stream, err := w.Engine.Stream(ctx, address, s, from)
	w.note(ctx, s, address, err)
	if err != nil {
		return nil, err
	}
	return &watchedStream{TokenStream: stream, watch: w, span: s}, nil
}

// note reports a failure unless the caller or the deadline ended the call.
func (w *Watch) note(ctx context.Context, s Span, address string, err error) {
	if err != nil && ctx.Err() == nil {
		w.Observer.Failed(s.Plan(), address)
	}
}

const (
	// watchTokens is how many tokens a mean covers, so that a learner is called seldom.
	watchTokens = 8
	// watchOutside is the share of the time that may pass outside of Next; beyond it the times show a slow caller.
	watchOutside = 0.2
)

// watchedStream times the tokens of a stream.
type watchedStream struct {
	TokenStream
	watch   *Watch
	span    Span
	last    time.Time // when Next returned last
	total   time.Duration
	outside time.Duration
	count   int
}

// Next waits for the next step and measures the time since the one before; the first token is left out, since it
// includes the prompt.
func (s *watchedStream) Next(ctx context.Context) (Step, error) {
	asked := s.watch.Clock.Now()
	step, err := s.TokenStream.Next(ctx)
	if err != nil {
		s.failed(ctx, err)
		return step, err
	}
	if step.Beat() {
		return step, nil
	}
	now := s.watch.Clock.Now()
	if !s.last.IsZero() {
		s.total += now.Sub(s.last)
		s.outside += asked.Sub(s.last)
		s.count++
	}
	s.last = now
	if s.count >= watchTokens || step.Token().Last() && s.count > 0 {
		if float64(s.outside) <= watchOutside*float64(s.total) {
			s.watch.Observer.Observe(s.span.Plan(), s.total/time.Duration(s.count))
		}
		s.total, s.outside, s.count = 0, 0, 0
	}
	if step.Token().Last() {
		s.watch.Observer.Succeeded(s.span.Plan())
	}
	return step, nil
}

func (s *watchedStream) failed(ctx context.Context, err error) {
	var stage *StageError
	switch {
	case errors.As(err, &stage):
		s.watch.Observer.Failed(s.span.Plan(), stage.Address())
	case ctx.Err() == nil:
		// The stream itself broke, so that the last stage or the way to it failed.
		s.watch.Observer.Failed(s.span.Plan(), s.span.Last())
	case context.Cause(ctx) == errStall:
		s.watch.Observer.Failed(s.span.Plan(), "")
	}
}
