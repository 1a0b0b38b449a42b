package bergamotentry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

// service is a part of the entry that the supervisor runs.
type service struct {
	name string
	run  func(ctx context.Context) error
}

// Serve runs the part until ctx ends.
func (s *service) Serve(ctx context.Context) error { return s.run(ctx) }

// String returns the name for the supervisor's events.
func (s *service) String() string { return s.name }

// Timeouts of the listeners.
const (
	headerTimeout = 5 * time.Second
	closeTimeout  = 2 * time.Second
)

// newHTTPService returns a service that serves h on l until its context ends.
func newHTTPService(name string, l net.Listener, h http.Handler) *service {
	return &service{name: name, run: func(ctx context.Context) error {
		server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
		done := make(chan error, 1)
		go func() { done <- server.Serve(l) }()
		select {
		case err := <-done:
			return err
		case <-ctx.Done():
		}
		closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
		defer cancel()
		if err := server.Shutdown(closing); err != nil {
			// Requests that outlived the drain time are cut off.
			err = errors.Join(err, server.Close())
			<-done
			return err
		}
		<-done
		return ctx.Err()
	}}
}
