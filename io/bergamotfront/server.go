package bergamotfront

import (
	"crypto/rand"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bergamotspur/core/bergamotaccount"
	"bergamotspur/core/bergamotchain"
	"bergamotspur/core/bergamotcontrol"
	"bergamotspur/core/bergamotrequest"
)

// Headers of requests and replies.
const (
	HeaderDeadline       = "Bergamot-Deadline" // time limit of the request in milliseconds
	HeaderRun            = "Bergamot-Run"      // whether the request was run: no, yes or unknown
	HeaderReason         = "Bergamot-Reason"   // one-word reason of a refusal
	HeaderPath           = "Bergamot-Path"     // instances that answered, separated by commas
	HeaderReplay         = "Bergamot-Replay"   // present if the reply is that of an earlier call with the same key
	HeaderIdempotencyKey = "Idempotency-Key"
)

const (
	maxBodyBytes           = 8 << 20 // of a request
	maxIdempotencyKeyBytes = 255     // the key becomes part of the key of a table row
)

// Views provides the current view of the control state.
type Views interface {
	View() *bergamotcontrol.View
}

// Clock provides the current time.
type Clock interface {
	Now() time.Time
}

// Server is the HTTP server for callers: it passes requests through the filter chain and writes the answers.
type Server struct {
	Chain bergamotchain.Handler
	Views Views
	Clock Clock
	Entry string // prefix of each request id
	// Account has the memory of bodies.
	Account *bergamotaccount.Account
}

// Handler returns the HTTP handler for all routes of callers.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) {
		s.handleCompletion(w, r, bergamotrequest.KindCompletion)
	})
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) {
		s.handleCompletion(w, r, bergamotrequest.KindChat)
	})
	mux.HandleFunc("GET /v1/models", withoutBody(s.handleModels))
	// Model names may contain slashes.
	mux.HandleFunc("GET /v1/models/{model...}", withoutBody(s.handleModel))
	mux.HandleFunc("/v1/services/{service}/{call}", s.handleServiceCall)
	for path, allow := range map[string]string{
		"/v1/completions": "POST", "/v1/chat/completions": "POST", "/v1/models": "GET, HEAD", "/v1/models/{model...}": "GET, HEAD",
	} {
		mux.HandleFunc(path, withoutBody(func(w http.ResponseWriter, r *http.Request) { writeMethodNotAllowed(w, r, allow) }))
	}
	mux.HandleFunc("/", withoutBody(func(w http.ResponseWriter, r *http.Request) {
		writeRefusal(w, bergamotrequest.Refuse(bergamotrequest.ReasonRoute, "no such path: %s", r.URL.Path))
	}))
	return mux
}

// spec returns the request fields that do not depend on the body, or a refusal if a header is invalid.
func (s *Server) spec(r *http.Request, kind bergamotrequest.Kind) (spec bergamotrequest.Spec, err error) {
	spec = bergamotrequest.Spec{
		ID: s.Entry + "-" + rand.Text(), Kind: kind, ArrivedAt: s.Clock.Now(), IdempotencyKey: r.Header.Get(HeaderIdempotencyKey),
	}
	// The authentication scheme is case-insensitive.
	if scheme, key, ok := strings.Cut(r.Header.Get("Authorization"), " "); ok && strings.EqualFold(scheme, "Bearer") {
		spec.APIKey = strings.TrimSpace(key)
	}
	if len(spec.IdempotencyKey) > maxIdempotencyKeyBytes {
		return spec, bergamotrequest.Refuse(bergamotrequest.ReasonIdempotency, "%s must have at most %d bytes", HeaderIdempotencyKey, maxIdempotencyKeyBytes)
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
