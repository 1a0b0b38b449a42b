package bergamotsoak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// requestKind is a kind of request that callers send, with the route that serves it.
type requestKind struct {
	method  string
	path    string
	maxRuns int // how often the route allows a request to run
	events  bool
}

var kinds = map[string]requestKind{
	"booking":    {method: http.MethodPost, path: "/o/1", maxRuns: 1},
	"lookup":     {method: http.MethodGet, path: "/l/1", maxRuns: 2},
	"stream":     {method: http.MethodPost, path: "/s/1", maxRuns: 2, events: true},
	"model call": {method: http.MethodPost, path: "/whole/1", maxRuns: 1},
	"text":       {method: http.MethodPost, path: "/events/1", maxRuns: 2, events: true},
}

// baseKinds are the kinds that all builds serve; the others combine runners and answers in ways that earlier ones did not.
var baseKinds = []string{"booking", "lookup", "stream"}

// result is what a caller received for one request.
type result struct {
	id       string
	kind     string
	key      string
	entry    *entry
	sent     time.Time
	ended    time.Time
	status   int // 0 for no answer
	body     string
	complete bool // the body was read to its end without an error
}

// results collects the results of all callers.
type results struct {
	mu   sync.Mutex
	list []result
}

func (r *results) add(v result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, v)
}

func (r *results) all() []result {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]result(nil), r.list...)
}

// send sends a request of the kind name to an entry and reads the answer.
func send(ctx context.Context, client *http.Client, e *entry, id, name, key string) (v result) {
	k := kinds[name]
	v = result{id: id, kind: name, key: key, entry: e, sent: time.Now()}
	defer func() { v.ended = time.Now() }()
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, k.method, "http://"+e.front+k.path, nil)
	must(err)
	if k.method == http.MethodPost {
		// Without GetBody the transport does not retry the request, so each one is sent once.
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader([]byte("body"))), 4
	}
	r.Host = "h.example"
	r.Header.Set("X-Bergamotspur-Attempt-Id", id)
	r.Header.Set("X-Bergamotspur-Deadline-Ms", "4000")
	r.Header.Set("X-Bergamotspur-Token-Count", "100,100")
	r.Header.Set("Authorization", "Token "+key)
	w, err := client.Do(r)
	if err != nil {
		return v
	}
	defer func() { _ = w.Body.Close() }() // a truncated answer is a result too
	body, err := io.ReadAll(w.Body)
	v.status, v.body, v.complete = w.StatusCode, string(body), err == nil
	return v
}

// isExpectedAnswer reports whether the body of a success is the complete answer to this request.
func (v result) isExpectedAnswer() bool {
	if !kinds[v.kind].events {
		return v.body == "answer to "+v.id
	}
	var b strings.Builder
	for n := range 6 {
		fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", n, n)
	}
	return v.body == b.String()
}
