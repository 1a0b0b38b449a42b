package bergamotfront

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"bergamotspur/core/bergamotchain"
	"bergamotspur/core/bergamotrequest"
)

// completionSink writes one completion to the caller, as a single body or as server-sent events.
type completionSink struct {
	w          http.ResponseWriter
	request    *bergamotrequest.Request
	created    time.Time
	text       strings.Builder
	tokenCount int
	last       bool
	started    bool
	wantsUsage bool // the stream ends with a usage event
}

func newCompletionSink(w http.ResponseWriter, r *bergamotrequest.Request, created time.Time) *completionSink {
	return &completionSink{w: w, request: r, created: created}
}

// Token writes or collects one token; it returns an error if the caller has disconnected.
func (s *completionSink) Token(_ context.Context, t bergamotrequest.Token) error {
	s.tokenCount++
	s.last = t.IsLast()
	if !s.request.IsStreaming() {
		s.text.WriteString(t.Text())
		return nil
	}
	first := !s.started
	s.start()
	return s.writeEvent(s.chunk(t.Text(), first, nil))
}

// Reply returns an error, since a completion has no service reply.
func (s *completionSink) Reply(context.Context, bergamotrequest.Reply) error {
	return errors.New("a completion has no service reply")
}

// start sends the header of an event stream, after which a failure can only be reported as an error event.
func (s *completionSink) start() {
	if s.started {
		return
	}
	s.started = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-cache")
	s.w.WriteHeader(http.StatusOK)
}

// writeEvent sends v as the JSON data of one event.
func (s *completionSink) writeEvent(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return s.writeData(string(data))
}

func (s *completionSink) writeData(data string) error {
	if _, err := s.w.Write([]byte("data: " + data + "\n\n")); err != nil {
		return err
	}
	return http.NewResponseController(s.w).Flush()
}

// finish completes the answer after all tokens have arrived.
func (s *completionSink) finish(x *bergamotchain.Exchange) {
	finishReason := "stop"
	// The pipeline's limit may be lower than that of the caller.
	if s.tokenCount >= s.request.MaxTokens() || s.tokenCount > 0 && s.tokenCount >= x.Pipeline().MaxAnswerTokens() && x.Pipeline().MaxAnswerTokens() > 0 {
		finishReason = "length"
	}
	if !s.request.IsStreaming() {
		s.w.Header().Set(HeaderPath, strings.Join(x.Path(), ","))
		writeJSON(s.w, http.StatusOK, s.fullBody(finishReason))
		return
	}
	first := !s.started
	s.start()
	// A write error means that the caller has disconnected and cannot be notified.
	_ = s.writeEvent(s.chunk("", first, &finishReason))
	if s.wantsUsage {
		_ = s.writeEvent(s.usageChunk())
	}
	_ = s.writeData("[DONE]")
}

// fail reports a refusal; a stream that has started ends with an error event and without [DONE].
func (s *completionSink) fail(f *bergamotrequest.Refusal) {
	if !s.started {
		writeRefusal(s.w, f)
		return
	}
	_ = s.writeEvent(errorBody(f))
}
