package bergamotfake

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/samber/oops"

	"bergamotspur/core/bergamotaccount"
	"bergamotspur/core/bergamotclock"
	"bergamotspur/io/bergamotlimit"
)

const (
	maxMemory = 1 << 30 // bytes for connections and heads of one fake
	maxConns  = 10_000
)

// noRecorder ignores what the limits of a fake refuse: its clients see it.
type noRecorder struct{}

// RecordLimit does nothing.
func (noRecorder) RecordLimit(string, bergamotaccount.Kind, string, int64) {}

// A Server serves the HTTP interface of a fake.
type Server struct {
	server  *http.Server
	address string
	pauses  *pauses
	done    chan struct{}
	err     error // why serving ended; valid once done is closed
}

// Listen listens on address and serves h in the background; port 0 takes any free port.
func Listen(address string, h http.Handler) (s *Server, err error) {
	defer func() { err = oops.In("fake").Wrapf(err, "listen on %s", address) }()
	l, err := bergamotlimit.Listen(address)
	if err != nil {
		return nil, err
	}
	p := &pauses{}
	limited := &bergamotlimit.Listener{
		Listener: &pauseListener{Listener: l, pauses: p}, Account: &bergamotaccount.Account{Max: maxMemory, Clock: bergamotclock.Real{}}, Clock: bergamotclock.Real{}, Recorder: noRecorder{},
		MaxHeaderBytes: http.DefaultMaxHeaderBytes,
	}
	limited.SetMaxConns(maxConns)
	server := &bergamotlimit.Server{Handler: h, HeaderTimeout: 5 * time.Second, MaxHeaderBytes: http.DefaultMaxHeaderBytes}
	s = &Server{
		server:  server.New(),
		address: l.Addr().String(), pauses: p, done: make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		s.err = s.server.Serve(limited)
	}()
	return s, nil
}

// Address returns the host and port of the server.
func (s *Server) Address() string { return s.address }

// Pause makes all connections silent, or ends that: nothing is closed, new ones are accepted, and all goes on where it stood, as in
// a process that stands still for a moment.
func (s *Server) Pause(paused bool) { s.pauses.set(paused) }

// Accepted returns how many connections the server has accepted, also in pauses.
func (s *Server) Accepted() int { return s.pauses.acceptedConns() }

// Kill closes the port and all connections at once; it may be called more than once.
func (s *Server) Kill() {
	// The port is released either way.
	_ = s.server.Close()
	<-s.done
}

// Run blocks until ctx ends and then kills the server, or until serving fails.
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
