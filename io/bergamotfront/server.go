package bergamotfront

import (
	"crypto/rand"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bergamotspur/core/bergamotchain"
	"bergamotspur/core/bergamotcontrol"
	"bergamotspur/core/bergamotrequest"
)

// Headers of requests and replies.
const (
	HeaderDeadline = "Bergamot-Deadline" // milliseconds that the caller grants
	HeaderRun      = "Bergamot-Run"      // whether the request was run: no, yes or unknown
	HeaderReason   = "Bergamot-Reason"   // one-word reason of a refusal
	HeaderPath     = "Bergamot-Path"     // instances that answered
	HeaderReplay   = "Bergamot-Replay"   // present when the reply was stored by an earlier call
	HeaderIdem     = "Idempotency-Key"
)

const (
	maxRequest = 8 << 20 // largest body of a request in bytes
	maxIdem    = 255     // longest idempotency key in bytes, since it is part of the key of a row
)

// Views gives the current control state.
type Views interface {
	View() *bergamotcontrol.View
}

// Clock tells the time.
type Clock interface {
	Now() time.Time
}

// Server turns HTTP requests into exchanges and answers into HTTP replies.
type Server struct {
	Chain bergamotchain.Handler
	Views Views
	Clock Clock
	Entry string // name of the entry, part of each request id
}

// Handler returns the routes for callers.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) {
		s.complete(w, r, bergamotrequest.KindCompletion)
	})
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) {
		s.complete(w, r, bergamotrequest.KindChat)
	})
	mux.HandleFunc("GET /v1/models", s.models)
	// Names of models may contain slashes.
	mux.HandleFunc("GET /v1/models/{model...}", s.model)
	mux.HandleFunc("/v1/services/{service}/{call}", s.call)
	for path, allow := range map[string]string{
		"/v1/completions": "POST", "/v1/chat/completions": "POST", "/v1/models": "GET, HEAD", "/v1/models/{model...}": "GET, HEAD",
	} {
		mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) { writeMethod(w, r, allow) })
	}
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeRefusal(w, bergamotrequest.Refuse(bergamotrequest.ReasonRoute, "no such path: %s", r.URL.Path))
	})
	return mux
}

// spec returns the fields that every request has.
func (s *Server) spec(r *http.Request, kind bergamotrequest.Kind) (spec bergamotrequest.Spec, err error) {
	spec = bergamotrequest.Spec{
		ID: s.Entry + "-" + rand.Text(), Kind: kind, ArrivedAt: s.Clock.Now(), IdempotencyKey: r.Header.Get(HeaderIdem),
	}
	// The scheme is written in any case.
	if scheme, key, ok := strings.Cut(r.Header.Get("Authorization"), " "); ok && strings.EqualFold(scheme, "Bearer") {
		spec.APIKey = strings.TrimSpace(key)
	}
	if len(spec.IdempotencyKey) > maxIdem {
		return spec, bergamotrequest.Refuse(bergamotrequest.ReasonIdempotency, "%s must have at most %d bytes", HeaderIdem, maxIdem)
	}
	if v := r.Header.Get(HeaderDeadline); v != "" {
		ms, parseErr := strconv.Atoi(v)
		if parseErr != nil || ms <= 0 || ms > int(24*time.Hour/time.Millisecond) {
			return spec, bergamotrequest.Refuse(bergamotrequest.ReasonBody, "%s must be a number of milliseconds up to one day", HeaderDeadline)
		}
		spec.Timeout = time.Duration(ms) * time.Millisecond
	}
	return spec, nil
}
