package bergamotfake

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/samber/oops"
)

// Server serves a fake on a loopback port.
type Server struct {
	server  *http.Server
	address string
	done    chan struct{}
	err     error // how serving ended, readable after done
}

// Listen serves h on address; port 0 takes any free port.
func Listen(address string, h http.Handler) (s *Server, err error) {
	defer func() { err = oops.In("fake").Wrapf(err, "listen on %s", address) }()
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s = &Server{
		server:  &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second},
		address: l.Addr().String(), done: make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		s.err = s.server.Serve(l)
	}()
	return s, nil
}

// Address returns host and port.
func (s *Server) Address() string { return s.address }

// Kill closes the port and cuts all connections at once; it may be called more than once.
func (s *Server) Kill() {
	// The port is gone either way.
	_ = s.server.Close()
	<-s.done
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	select {
	case <-ctx.Done():
		s.Kill()
		return nil
	case <-s.done:
		if errors.Is(s.err, http.ErrServerClosed) {
			return nil
		}
		return s.err
	}
}
