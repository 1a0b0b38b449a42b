package bergamotentry

import (
	"net"
	"net/http"
	"time"

	"bergamotspur/core/bergamotaccount"
	"bergamotspur/io/bergamotlimit"
)

const (
	accountBytes  = 128e6 // for callers; the settings do not name the memory of the machine
	callerConns   = 2048
	operatorConns = 64
	// writeTimeout is how long a client may read nothing while an answer waits for it, at most twice as long.
	writeTimeout = 15 * time.Second
	limitLines   = 10 // log lines a second about limits; the counters have all
)

// limited returns a listener with the limits of the entry.
func (e *Entry) limited(l net.Listener, conns int) *bergamotlimit.Listener {
	out := &bergamotlimit.Listener{
		Listener: l, Account: e.account, Clock: e.clock, Recorder: e, MaxHeaderBytes: http.DefaultMaxHeaderBytes, WriteTimeout: writeTimeout,
	}
	out.SetMaxConns(conns)
	return out
}

// withoutBodies returns a handler that refuses requests with a body.
func (e *Entry) withoutBodies(h http.Handler) http.Handler {
	return &bergamotlimit.Queries{Next: h, Account: e.account, Recorder: e}
}

// RecordLimit records a refusal, an eviction or the close of a connection because of a limit.
func (e *Entry) RecordLimit(cause string, kind bergamotaccount.Kind, key string, bytes int64) {
	e.metrics.Count("limit." + cause)
	if e.limitLines.Allow() {
		e.log.Warn("limit %s: %s of %s, %d bytes", cause, kind, key, bytes)
	}
}

func (e *Entry) recordEviction(v bergamotaccount.Eviction) {
	e.RecordLimit(string(v.Cause()), v.Kind(), v.Key(), v.Bytes())
}
