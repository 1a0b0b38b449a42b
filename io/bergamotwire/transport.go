package bergamotwire

import (
	"net"
	"net/http"
	"time"
)

// maxHeader is the maximum size of the header of a reply in bytes; those of sound servers have a few hundred.
const maxHeader = 64 << 10

// NewTransport returns a transport that connects directly to the address of each request, never through a proxy.
func NewTransport() *http.Transport {
	return &http.Transport{
		Proxy:                  nil,
		DialContext:            (&net.Dialer{Timeout: dialTimeout, KeepAlive: 5 * time.Second}).DialContext,
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		IdleConnTimeout:        30 * time.Second,
		MaxResponseHeaderBytes: maxHeader,
	}
}
