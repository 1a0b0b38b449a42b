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

// sink writes one completion to the caller, whole or as server-sent events.
type sink struct {
	w       http.ResponseWriter
	request *bergamotrequest.Request
	created time.Time
	text    strings.Builder
	count   int
	last    bool
	begun   bool
	usage   bool // the stream ends with an event that has the usage
}

func newSink(w http.ResponseWriter, r *bergamotrequest.Request, created time.Time) *sink {
	return &sink{w: w, request: r, created: created}
}

// Token takes one token; it fails when the caller's connection does.
func (s *sink) Token(_ context.Context, t bergamotrequest.Token) error {
	s.count++
	s.last = t.IsLast()
	if !s.request.IsStreaming() {
		s.text.WriteString(t.Text())
		return nil
	}
	first := !s.begun
	s.begin()
	return s.event(s.chunk(t.Text(), first, nil))
}

// Reply is not used by completions.
func (s *sink) Reply(context.Context, bergamotrequest.Reply) error {
	return errors.New("a completion has no service reply")
}

// begin sends the header of an event stream; from then on a failure can only be an error event.
func (s *sink) begin() {
	if s.begun {
		return
	}
	s.begun = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-cache")
	s.w.WriteHeader(http.StatusOK)
}

func (s *sink) event(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return s.raw(string(data))
}

func (s *sink) raw(data string) error {
	if _, err := s.w.Write([]byte("data: " + data + "\n\n")); err != nil {
		return err
	}
	return http.NewResponseController(s.w).Flush()
}

// finish ends a complete answer.
func (s *sink) finish(x *bergamotchain.Exchange) {
	reason := "stop"
	// The pipeline may allow fewer tokens than the caller asks for.
	if s.count >= s.request.MaxTokens() || s.count > 0 && s.count >= x.Pipeline().MaxAnswerTokens() && x.Pipeline().MaxAnswerTokens() > 0 {
		reason = "length"
	}
	if !s.request.IsStreaming() {
		s.w.Header().Set(HeaderPath, strings.Join(x.Path(), ","))
		writeJSON(s.w, http.StatusOK, s.whole(reason))
		return
	}
	first := !s.begun
	s.begin()
	// The caller may have gone away; there is nobody left to tell.
	_ = s.event(s.chunk("", first, &reason))
	if s.usage {
		_ = s.event(s.usageChunk())
	}
	_ = s.raw("[DONE]")
}

// fail ends an answer that could not be completed; a stream then has no [DONE].
func (s *sink) fail(f *bergamotrequest.Refusal) {
	if !s.begun {
		writeRefusal(s.w, f)
		return
	}
	_ = s.event(errorBody(f))
}
