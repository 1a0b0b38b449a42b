package bergamotfake

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"

	"bergamotspur/io/bergamotwire"
)

// A Service is a fake target without a model engine that books pickups and does not detect repeated calls.
type Service struct {
	Faults Faults

	mu      sync.Mutex
	journal []Booking
	server  *Server
}

// A Booking is one call that the service ran.
type Booking struct {
	Call           string
	IdempotencyKey string
	Body           string
}

// NewService returns a service that has run no call yet.
func NewService() *Service { return &Service{} }

// Start listens on address and serves in the background.
func (s *Service) Start(address string) (err error) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /{call}", s.run)
	s.server, err = Listen(address, s.Faults.Wrap(mux))
	return err
}

// Address returns the host and port of the service.
func (s *Service) Address() string { return s.server.Address() }

// Kill closes the service's port and all of its connections at once.
func (s *Service) Kill() { s.server.Kill() }

// Run blocks until ctx ends and then kills the service, or until serving fails.
func (s *Service) Run(ctx context.Context) error { return s.server.Run(ctx) }

// Journal returns a copy of the calls that ran.
func (s *Service) Journal() []Booking {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Booking(nil), s.journal...)
}

// run runs a call; the call "outcome" replies whether the call whose idempotency key is the body has run.
func (s *Service) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.PathValue("call") == "outcome" {
		bergamotwire.Write(w, http.StatusOK, map[string]any{"ran": s.hasRun(string(body))})
		return
	}
	s.journal = append(s.journal, Booking{Call: r.PathValue("call"), IdempotencyKey: r.Header.Get("Bergamot-Call"), Body: string(body)})
	bergamotwire.Write(w, http.StatusOK, map[string]any{"number": fmt.Sprintf("B%03d", len(s.journal)), "call": r.PathValue("call")})
}

// hasRun reports whether a call with that idempotency key has run.
func (s *Service) hasRun(idem string) bool {
	for _, b := range s.journal {
		if b.IdempotencyKey == idem {
			return true
		}
	}
	return false
}
