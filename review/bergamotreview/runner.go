package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"bergamotspur/io/bergamotfake"
)

// runner is a stand-in for a runner of a plain service. It answers each request after the time of its work, and stops the
// work when the connection closes or the time limit is over.
type runner struct {
	id      string
	service string
	work    time.Duration
	address string
	bench   *bench
	born    int64
	server  *bergamotfake.Server

	mu       sync.Mutex
	arrivals []arrival
}

// arrival is a request that a runner has begun to run.
type arrival struct {
	id     string
	target string // request target as it arrived
	host   string
	path   string
	at     time.Time
	end    string // empty while it runs
}

func (b *bench) startRunner(id, service string, work time.Duration) (*runner, error) {
	r := &runner{id: id, service: service, work: work, bench: b, born: time.Now().UnixMilli()}
	server, err := bergamotfake.Listen("127.0.0.1:0", http.HandlerFunc(r.serve))
	if err != nil {
		return nil, err
	}
	r.address, r.server = server.Address(), server
	b.onClose(server.Kill)
	r.register("ready")
	return r, nil
}

// register writes the row of the runner.
func (r *runner) register(state string) {
	r.bench.store.Put(tableRunners, r.id, map[string]any{
		"service": r.service, "address": r.address, "zone": zoneName, "version": "1", "slots": 6, "state": state,
		"coldRemainingMs": 0, "seq": 1, "born": r.born,
	})
}

func (r *runner) serve(w http.ResponseWriter, q *http.Request) {
	if q.Method == http.MethodGet && q.URL.Path == "/report" {
		// A failed write means that the caller has gone.
		_ = json.NewEncoder(w).Encode(map[string]any{"stage": "both", "models": []any{}, "busy": false, "seq": 1, "born": r.born})
		return
	}
	id := q.Header.Get("X-Bergamotspur-Attempt-Id")
	if expected := q.Header.Get("X-Bergamotspur-Expect-Instance"); expected != "" && expected != r.id {
		w.Header().Set("X-Bergamotspur-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("X-Bergamotspur-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = io.Copy(io.Discard, q.Body) // a body that breaks off ends the context of the request
	n := r.begin(arrival{id: id, target: q.RequestURI, host: q.Host, path: q.URL.Path, at: time.Now()})
	select {
	case <-time.After(r.work):
	case <-q.Context().Done():
		r.finish(n, "its connection was closed while it ran")
		return
	}
	r.finish(n, "answered")
	body := fmt.Sprintf("{\"done\":%q}", id)
	w.Header().Set("X-Bergamotspur-Attempt-Id", id)
	w.Header().Set("X-Bergamotspur-Server-Stamp", "stamp."+r.id+"."+id)
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = io.WriteString(w, body) // a failed write means that the caller has gone
}

func (r *runner) begin(a arrival) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, a)
	r.bench.log("runner %s: runs %s, target %s, host %s, path %s", r.id, a.id, a.target, a.host, a.path)
	return len(r.arrivals) - 1
}

func (r *runner) finish(n int, end string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals[n].end = end
	r.bench.log("runner %s: %s %s", r.id, r.arrivals[n].id, end)
}

// ran returns the requests that the runner has begun to run.
func (r *runner) ran() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]arrival(nil), r.arrivals...)
}
