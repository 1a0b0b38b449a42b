package bergamotlimit

import (
	"context"
	"log"
	"net"
	"net/http"
	"time"
)

// Server holds the limits of an HTTP server whose connections come from a Listener.
type Server struct {
	Handler        http.Handler
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	MaxHeaderBytes int
	ErrorLog       *log.Logger // nil for the standard logger
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// New returns the server.
func (s *Server) New() *http.Server {
	return &http.Server{
		Handler: handler{s.Handler}, ReadHeaderTimeout: s.HeaderTimeout, IdleTimeout: s.IdleTimeout, MaxHeaderBytes: s.MaxHeaderBytes, ErrorLog: s.ErrorLog,
		ConnState: func(c net.Conn, state http.ConnState) {
			if c, ok := c.(*Conn); ok {
				c.setState(state)
			}
		},
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
}

// handler calls the handler of a server for requests whose connection has not been evicted or closed.
type handler struct{ next http.Handler }

// ServeHTTP passes on a request, or refuses it if its connection was evicted before. One whose connection was closed is not run.
func (h handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c := connOf(r); c != nil && !c.serve() {
		c.answer(refuseMemory)
		c.stopReading()
		panic(http.ErrAbortHandler) // closes the connection
	}
	h.next.ServeHTTP(w, r)
}

// connOf returns the connection of a request, nil if it does not come from a Listener.
func connOf(r *http.Request) *Conn {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	return c
}
