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
	mux.HandleFunc("POST /span/open", handle(e.open))
	mux.HandleFunc("POST /span/start", handle(e.start))
	mux.HandleFunc("POST /span/step", handle(func(m StepMessage) int {
		if !e.enqueue(m) {
			return http.StatusNotFound
		}
		return http.StatusOK
	}))
	mux.HandleFunc("POST /span/next", handle(e.next))
	mux.HandleFunc("POST /span/fail", handle(func(m bergamotengine.TokenMessage) int {
		e.fail(m)
		return http.StatusOK
	}))
	mux.HandleFunc("POST /span/cancel", handle(e.cancel))
	mux.HandleFunc("POST /span/import", e.pull)
	mux.HandleFunc("POST /span/export", reply(e.export))
	mux.HandleFunc("POST /span/progress", reply(e.progress))
	mux.HandleFunc("GET /span/stream", e.stream)
	mux.HandleFunc("POST /order", handle(e.order))
	mux.HandleFunc("GET /load", e.load)
	mux.HandleFunc("GET /events", e.cache.serve)
	return mux
}

// handle decodes a message, applies f and replies with the status that it returns.
func handle[M any](f func(M) int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var m M
		if err := bergamotwire.Read(r, &m); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		bergamotwire.Write(w, f(m), struct{}{})
	}
}

// reply decodes a message and replies with the status and the message that f returns.
func reply[M, R any](f func(M) (int, R)) http.HandlerFunc {
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

// open refuses a span of layers, a version or an adapter that the engine does not hold.
func (e *Engine) open(m bergamotengine.SpanMessage) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		return bergamotengine.StatusLeaving
	}
	if _, ok := e.spans[key{m.Session, m.Attempt}]; ok {
		// A repeated command takes effect once.
		return http.StatusOK
	}
	for _, h := range e.holdings {
		if h.Model == m.Model && h.Version == m.Version && h.From <= m.From && h.To >= m.To &&
			(m.Adapter == "" || slices.Contains(h.Adapters, m.Adapter)) {
			e.spans[key{m.Session, m.Attempt}] = newSpan(m)
			return http.StatusOK
		}
	}
	return http.StatusConflict
}

func (e *Engine) cancel(m bergamotengine.SpanMessage) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.spans, key{m.Session, m.Attempt})
	return http.StatusOK
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	bergamotwire.Write(w, http.StatusOK, bergamotengine.ReportMessage{
		Running: len(e.spans), Queued: len(e.queue), Leaving: e.leaving, Holdings: e.holdings,
	})
}

// stream sends the tokens of a span from a position on, and heartbeats while there are none.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request) {
	attempt, _ := strconv.Atoi(r.URL.Query().Get("attempt"))
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	k := key{r.URL.Query().Get("session"), attempt}
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
		tokens, fail, changed := e.read(s, sent)
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
		case <-time.After(e.Beat):
			if out.Encode(bergamotengine.TokenMessage{Beat: true}) != nil {
				return
			}
		}
	}
}

func (e *Engine) read(s *span, sent int) ([]bergamotengine.TokenMessage, *bergamotengine.TokenMessage, chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]bergamotengine.TokenMessage(nil), s.tokens[min(max(sent, 0), len(s.tokens)):]...), s.fail, s.changed
}
