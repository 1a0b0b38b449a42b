package bergamotfake

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"

	"bergamotspur/io/bergamotwire"
)

// Service is a fake plain service that books pickups and does not detect repeated calls.
type Service struct {
	Faults Faults

	mu      sync.Mutex
	journal []Booking
	server  *Server
}

// Booking is one call that the service ran.
type Booking struct {
	Call string
	Idem string
	Body string
}

// NewService returns a service that has run nothing yet.
func NewService() *Service { return &Service{} }

// Start serves the service on address.
func (s *Service) Start(address string) (err error) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /{call}", s.run)
	s.server, err = Listen(address, s.Faults.Wrap(mux))
	return err
}

// Address returns host and port.
func (s *Service) Address() string { return s.server.Address() }

// Kill ends the service at once.
func (s *Service) Kill() { s.server.Kill() }

// Run serves until ctx ends.
func (s *Service) Run(ctx context.Context) error { return s.server.Run(ctx) }

// Journal returns a copy of the calls that ran.
func (s *Service) Journal() []Booking {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Booking(nil), s.journal...)
}

// run runs one call; "outcome" tells whether the call with the idempotency key in its body ran.
func (s *Service) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.PathValue("call") == "outcome" {
		bergamotwire.Write(w, http.StatusOK, map[string]any{"ran": s.ran(string(body))})
		return
	}
	s.journal = append(s.journal, Booking{Call: r.PathValue("call"), Idem: r.Header.Get("Bergamot-Call"), Body: string(body)})
	bergamotwire.Write(w, http.StatusOK, map[string]any{"number": fmt.Sprintf("B%03d", len(s.journal)), "call": r.PathValue("call")})
}

func (s *Service) ran(idem string) bool {
	for _, b := range s.journal {
		if b.Idem == idem {
			return true
		}
	}
	return false
}
