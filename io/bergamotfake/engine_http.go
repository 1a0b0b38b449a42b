package bergamotfake

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"bergamotspur/io/bergamotengine"
	"bergamotspur/io/bergamotwire"
)

func (e *Engine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /span/open", statusHandler(e.openSpan))
	mux.HandleFunc("POST /span/start", statusHandler(e.startSpan))
	mux.HandleFunc("POST /span/step", statusHandler(func(m StepMessage) int {
		if !e.enqueue(m) {
			return http.StatusNotFound
		}
		return http.StatusOK
	}))
	mux.HandleFunc("POST /span/next", statusHandler(e.continueSpan))
	mux.HandleFunc("POST /span/fail", statusHandler(func(m bergamotengine.TokenMessage) int {
		e.fail(m)
		return http.StatusOK
	}))
	mux.HandleFunc("POST /span/cancel", statusHandler(e.cancelSpan))
	mux.HandleFunc("POST /span/import", e.importState)
	mux.HandleFunc("POST /span/export", replyHandler(e.export))
	mux.HandleFunc("POST /span/progress", replyHandler(e.progress))
	mux.HandleFunc("GET /span/stream", e.stream)
	mux.HandleFunc("POST /order", statusHandler(e.applyOrder))
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("GET /events", e.cache.serve)
	return mux
}

// statusHandler returns a handler that decodes a message and replies with the status that f returns for it.
func statusHandler[M any](f func(M) int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var m M
		if err := bergamotwire.Read(r, &m); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		bergamotwire.Write(w, f(m), struct{}{})
	}
}

// replyHandler returns a handler that decodes a message and replies with the status and the message that f returns.
func replyHandler[M, R any](f func(M) (int, R)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var m M
		if err := bergamotwire.Read(r, &m); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		status, out := f(m)
		bergamotwire.Write(w, status, out)
	}
}

// openSpan opens a span and returns the HTTP status: StatusLeaving while the engine leaves, 409 if it does not hold the
// layers, the version or the adapter.
func (e *Engine) openSpan(m bergamotengine.SpanMessage) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		return bergamotengine.StatusLeaving
	}
	if _, ok := e.spans[spanKey{m.Session, m.Attempt}]; ok {
		// Commands are idempotent.
		return http.StatusOK
	}
	for _, h := range e.holdings {
		if h.Model == m.Model && h.Version == m.Version && h.From <= m.From && h.To >= m.To &&
			(m.Adapter == "" || slices.Contains(h.Adapters, m.Adapter)) {
			e.spans[spanKey{m.Session, m.Attempt}] = newSpan(m)
			return http.StatusOK
		}
	}
	return http.StatusConflict
}

func (e *Engine) cancelSpan(m bergamotengine.SpanMessage) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.spans, spanKey{m.Session, m.Attempt})
	return http.StatusOK
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	bergamotwire.Write(w, http.StatusOK, bergamotengine.ReportMessage{
		Running: len(e.spans), Queued: len(e.queue), Leaving: e.leaving, Holdings: e.holdings,
	})
}

// stream sends the tokens of a span from the requested position on, and heartbeats while no token is ready.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request) {
	attempt, _ := strconv.Atoi(r.URL.Query().Get("attempt"))
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	k := spanKey{r.URL.Query().Get("session"), attempt}
	e.mu.Lock()
	s, ok := e.spans[k]
	frozen := e.frozen
	e.mu.Unlock()
	if !ok {
		http.Error(w, "no such span", http.StatusNotFound)
		return
	}
	out := json.NewEncoder(w)
	flush := http.NewResponseController(w).Flush
	sent := from - s.message.Start
	for {
		tokens, fail, changed := e.tokensFrom(s, sent)
		select {
		case <-frozen:
			<-r.Context().Done()
			return
		default:
		}
		for _, t := range tokens {
			if out.Encode(t) != nil {
				return
			}
		}
		sent += len(tokens)
		if fail != nil {
			_ = out.Encode(fail)
			return
		}
		if flush() != nil {
			return
		}
		if len(tokens) > 0 && tokens[len(tokens)-1].Last {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-frozen:
		case <-changed:
		case <-time.After(e.HeartbeatInterval):
			if out.Encode(bergamotengine.TokenMessage{Beat: true}) != nil {
				return
			}
		}
	}
}

// tokensFrom returns the tokens after the first sent ones, the failure of the span if any, and a channel that is closed at
// the next change.
func (e *Engine) tokensFrom(s *span, sent int) ([]bergamotengine.TokenMessage, *bergamotengine.TokenMessage, chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]bergamotengine.TokenMessage(nil), s.tokens[min(max(sent, 0), len(s.tokens)):]...), s.fail, s.changed
}
