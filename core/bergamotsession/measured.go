package bergamotsession

import (
	"context"
	"errors"
	"time"

	"bergamotspur/core/bergamotroute"
)

// Learner learns from what an entry sees of attempts.
type Learner interface {
	Observe(p bergamotroute.Plan, token time.Duration)
	Failed(p bergamotroute.Plan, address string) // address of the instance, empty when it is not known which one failed
	Succeeded(p bergamotroute.Plan)
}

// MeasuredEngine is an engine that reports token times and failures of another engine to a learner.
type MeasuredEngine struct {
	Engine
	Learner Learner
	Clock   Clock
}

// Open opens a span and reports a failure.
func (e *MeasuredEngine) Open(ctx context.Context, address string, s Span) error {
	err := e.Engine.Open(ctx, address, s)
	e.note(ctx, s, address, err)
	return err
}

// Start starts an attempt and reports a failure.
func (e *MeasuredEngine) Start(ctx context.Context, address string, s Span, p Prefix) error {
	err := e.Engine.Start(ctx, address, s, p)
	e.note(ctx, s, address, err)
	return err
}

// Stream opens a token stream whose times and failures are reported.
func (e *MeasuredEngine) Stream(ctx context.Context, address string, s Span, from int) (TokenStream, error) {
	stream, err := e.Engine.Stream(ctx, address, s, from)
	e.note(ctx, s, address, err)
	if err != nil {
		return nil, err
	}
	return &measuredStream{TokenStream: stream, engine: e, span: s}, nil
}

// note reports a failure unless the caller or the deadline ended the call.
func (e *MeasuredEngine) note(ctx context.Context, s Span, address string, err error) {
	if err != nil && ctx.Err() == nil {
		e.Learner.Failed(s.Plan(), address)
	}
}

const (
	// meanTokens is how many tokens a mean covers, so that a learner is called seldom.
	meanTokens = 8
	// maxOutside is the share of the time that may pass outside of Next; beyond it the times show a slow caller.
	maxOutside = 0.2
)

// measuredStream times the tokens of a stream.
type measuredStream struct {
	TokenStream
	engine  *MeasuredEngine
	span    Span
	last    time.Time // when Next returned last
	total   time.Duration
	outside time.Duration
	count   int
}

// Next waits for the next step and measures the time since the one before; the first token is left out, since it
// includes the prompt.
func (s *measuredStream) Next(ctx context.Context) (Step, error) {
	asked := s.engine.Clock.Now()
	step, err := s.TokenStream.Next(ctx)
	if err != nil {
		s.failed(ctx, err)
		return step, err
	}
	if step.Beat() {
		return step, nil
	}
	now := s.engine.Clock.Now()
	if !s.last.IsZero() {
		s.total += now.Sub(s.last)
		s.outside += asked.Sub(s.last)
		s.count++
	}
	s.last = now
	if s.count >= meanTokens || step.Token().IsLast() && s.count > 0 {
		if float64(s.outside) <= maxOutside*float64(s.total) {
			s.engine.Learner.Observe(s.span.Plan(), s.total/time.Duration(s.count))
		}
		s.total, s.outside, s.count = 0, 0, 0
	}
	if step.Token().IsLast() {
		s.engine.Learner.Succeeded(s.span.Plan())
	}
	return step, nil
}

func (s *measuredStream) failed(ctx context.Context, err error) {
	var stage *StageError
	switch {
	case errors.As(err, &stage):
		s.engine.Learner.Failed(s.span.Plan(), stage.Address())
	case ctx.Err() == nil:
		// The stream itself broke, so that the last stage or the way to it failed.
		s.engine.Learner.Failed(s.span.Plan(), s.span.Last())
	case context.Cause(ctx) == errStall:
		s.engine.Learner.Failed(s.span.Plan(), "")
	}
}
