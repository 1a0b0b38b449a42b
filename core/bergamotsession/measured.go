package bergamotsession

import (
	"context"
	"errors"
	"time"

	"bergamotspur/core/bergamotroute"
)

// Recorder records the token times and results of attempts.
type Recorder interface {
	RecordTokenTime(p bergamotroute.Plan, token time.Duration)
	RecordFailure(p bergamotroute.Plan, address string) // address of the failed instance, empty when it is not known
	RecordSuccess(p bergamotroute.Plan)
}

// MeasuredEngine wraps an engine and reports its token times and failures to a recorder.
type MeasuredEngine struct {
	Engine
	Recorder Recorder
	Clock    Clock
}

// Open opens a span and reports a failure to the recorder.
func (e *MeasuredEngine) Open(ctx context.Context, address string, s Span) error {
	err := e.Engine.Open(ctx, address, s)
	e.reportFailure(ctx, s, address, err)
	return err
}

// Start starts an attempt and reports a failure to the recorder.
func (e *MeasuredEngine) Start(ctx context.Context, address string, s Span, p Prefix) error {
	err := e.Engine.Start(ctx, address, s, p)
	e.reportFailure(ctx, s, address, err)
	return err
}

// Stream opens a token stream whose token times and failures are reported to the recorder.
func (e *MeasuredEngine) Stream(ctx context.Context, address string, s Span, position int) (TokenStream, error) {
	stream, err := e.Engine.Stream(ctx, address, s, position)
	e.reportFailure(ctx, s, address, err)
	if err != nil {
		return nil, err
	}
	return &measuredStream{TokenStream: stream, engine: e, span: s}, nil
}

// reportFailure reports a failure unless the caller or the deadline ended the call.
func (e *MeasuredEngine) reportFailure(ctx context.Context, s Span, address string, err error) {
	if err != nil && ctx.Err() == nil {
		e.Recorder.RecordFailure(s.Plan(), address)
	}
}

const (
	// tokensPerMean is the number of tokens averaged for one report, so that the recorder is called rarely.
	tokensPerMean = 8
	// maxCallerShare is the maximum share of the time outside of Next; above it, the times would measure a slow caller.
	maxCallerShare = 0.2
)

// measuredStream measures the token times of a stream.
type measuredStream struct {
	TokenStream
	engine     *MeasuredEngine
	span       Span
	lastReturn time.Time     // when Next last returned a token
	total      time.Duration // time of the tokens counted
	callerTime time.Duration // part of total that passed outside of Next
	tokens     int           // tokens counted since the last report
}

// Next waits for the next step and measures the time since the previous token. The first token is left out, since its
// time includes the prefill of the prompt.
func (s *measuredStream) Next(ctx context.Context) (Step, error) {
	calledAt := s.engine.Clock.Now()
	step, err := s.TokenStream.Next(ctx)
	if err != nil {
		s.reportFailure(ctx, err)
		return step, err
	}
	if step.IsHeartbeat() {
		return step, nil
	}
	now := s.engine.Clock.Now()
	if !s.lastReturn.IsZero() {
		s.total += now.Sub(s.lastReturn)
		s.callerTime += calledAt.Sub(s.lastReturn)
		s.tokens++
	}
	s.lastReturn = now
	if s.tokens >= tokensPerMean || step.Token().IsLast() && s.tokens > 0 {
		if float64(s.callerTime) <= maxCallerShare*float64(s.total) {
			s.engine.Recorder.RecordTokenTime(s.span.Plan(), s.total/time.Duration(s.tokens))
		}
		s.total, s.callerTime, s.tokens = 0, 0, 0
	}
	if step.Token().IsLast() {
		s.engine.Recorder.RecordSuccess(s.span.Plan())
	}
	return step, nil
}

func (s *measuredStream) reportFailure(ctx context.Context, err error) {
	var stageErr *StageError
	switch {
	case errors.As(err, &stageErr):
		s.engine.Recorder.RecordFailure(s.span.Plan(), stageErr.Address())
	case ctx.Err() == nil:
		// The stream itself broke: the last stage or the connection to it failed.
		s.engine.Recorder.RecordFailure(s.span.Plan(), s.span.LastAddress())
	case context.Cause(ctx) == errStall:
		s.engine.Recorder.RecordFailure(s.span.Plan(), "")
	}
}
