package bergamotentry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"bergamotspur/io/bergamotlimit"
)

// component is a part of the entry that the supervisor runs.
type component struct {
	name string
	run  func(ctx context.Context) error
}

// Serve runs the component until ctx ends.
func (c *component) Serve(ctx context.Context) error { return c.run(ctx) }

// String returns the name, which appears in the supervisor's events.
func (c *component) String() string { return c.name }

// Timeouts of the listeners.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute // longer than common clients keep an idle connection
	closeTimeout  = 2 * time.Second
)

// newHTTPComponent returns a component that serves h on l until its context ends.
func newHTTPComponent(name string, l net.Listener, h http.Handler) *component {
	return &component{name: name, run: func(ctx context.Context) error {
		s := &bergamotlimit.Server{Handler: h, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: http.DefaultMaxHeaderBytes}
		server := s.New()
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
			// Requests that still run after the drain time are cut off.
			err = errors.Join(err, server.Close())
			<-done
			return err
		}
		<-done
		return ctx.Err()
	}}
}
