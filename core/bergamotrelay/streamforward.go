package bergamotrelay

import (
	"context"
	"fmt"

	"bergamotspur/core/bergamotrequest"
)

// forwardEvents sends events to the caller. Only those with a new number show that the request makes progress: a runner in
// trouble may send comments without end, or events that the caller already has.
func (s *streamState) forwardEvents(ctx context.Context, w *attemptWatch, move *handover, events []byte, lastEvent, status int) error {
	isProgress := lastEvent > s.lastEvent
	if lastEvent >= 0 && !isProgress {
		return NewFailure(bergamotrequest.RunYes, bergamotrequest.ReasonTarget, fmt.Errorf("event %d after %d", lastEvent, s.lastEvent))
	}
	if isProgress {
		if !move.advance(lastEvent) {
			return movedOn(ctx)
		}
		w.eventsReceived()
		if s.x.Trace().Chunks() == 0 {
			s.trial.answered()
		}
	}
	if err := s.x.Sink().WriteEvents(events); err != nil {
		return NewFailure(bergamotrequest.RunYes, bergamotrequest.ReasonCancel, err)
	}
	if isProgress {
		w.eventsDelivered()
		s.lastEvent, s.progressed = lastEvent, true
		s.x.Trace().RecordChunk(s.handler.Clock.Now(), status)
	}
	return nil
}

// movedOn returns the failure of an attempt that another one has taken over from, with which the stall detector cancels ctx.
func movedOn(ctx context.Context) error {
	<-ctx.Done()
	return failureCause(ctx, ctx.Err())
}

// forwardResponse forwards a response that is not a series of events to the caller unchanged, also on a route of streams: what the runner says
// is its answer.
func (s *streamState) forwardResponse(response Response) error {
	body, err := response.Body()
	if err != nil {
		return err
	}
	if s.started.Load() {
		return NewFailure(bergamotrequest.RunUnknown, bergamotrequest.ReasonTarget, fmt.Errorf("status %d on a continued stream", response.Status()))
	}
	s.trial.answered()
	s.x.Trace().RecordChunk(s.handler.Clock.Now(), response.Status())
	return s.x.Sink().Reply(response.Status(), response.Fields(), body)
}
