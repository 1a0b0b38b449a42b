package bergamotwire

import (
	"context"
	"net"
	"net/http"
	"time"
)

// maxHeader is the maximum size of the header of a reply in bytes; those of sound servers have a few hundred.
const maxHeader = 64 << 10

// NewTransport returns a transport that connects directly to the address of each request, never through a proxy.
func NewTransport() *Transport { return &Transport{Next: newHTTPTransport()} }

// newHTTPTransport returns the transport of NewTransport without the checks of answers.
func newHTTPTransport() *http.Transport {
	return &http.Transport{
		Proxy:                  nil,
		DialContext:            dial,
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		IdleConnTimeout:        30 * time.Second,
		MaxResponseHeaderBytes: maxHeader,
	}
}

// dial opens a Conn.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{Timeout: dialTimeout, KeepAlive: 5 * time.Second}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return NewConn(c), nil
}
