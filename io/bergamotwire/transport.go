package bergamotwire

import (
	"net"
	"net/http"
	"time"
)

// NewTransport returns a transport that connects only to the given addresses, never through a proxy.
func NewTransport() *http.Transport {
	return &http.Transport{
		Proxy:               nil,
		DialContext:         (&net.Dialer{Timeout: dialTimeout, KeepAlive: 5 * time.Second}).DialContext,
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     30 * time.Second,
	}
}
