package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const manyLayers = 8 // of the small model

// modelRunner is a stand-in for a runner of a model engine that holds all layers of a small model.
type modelRunner struct {
	id      string
	address string
	born    int64
	prefill time.Duration // from the header of an answer to its first event
	events  int           // of each stream
	bench   *bench        // nil for no record of each stream
	deadly  string        // path of the requests on which the process crashes before it answers, empty for none

	mu       sync.Mutex
	empty    bool              // no layers are held, as after a restart
	server   *http.Server      // nil while the process is down
	arrivals []arrival         // of deadly requests
	ends     map[string]string // how each run has ended, by the id of its request
}

// start serves behind a gate and writes the row of the runner.
func (r *modelRunner) start(b *bench, g *gate) (err error) {
	if r.address, r.server, err = g.listen(b, http.HandlerFunc(r.serve)); err != nil {
		return err
	}
	r.register(b)
	return nil
}

// register writes the row of the runner.
func (r *modelRunner) register(b *bench) {
	r.mu.Lock()
	defer r.mu.Unlock()
	row := map[string]any{
		"service": "assistant", "address": r.address, "zone": zoneName, "version": "1", "slots": 192, "state": "ready",
		"coldRemainingMs": 0, "seq": 1, "born": r.born, "routeType": "l4",
	}
	if !r.empty {
		row["layers"] = map[string]int{"from": 0, "target": manyLayers, "version": 1}
	}
	b.store.Put(tableRunners, r.id, row)
}

// crash ends the process with its connections. It is back after restartTime at the same address, under its id and empty.
func (r *modelRunner) crash(a arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, a)
	if r.server == nil {
		return
	}
	r.bench.log("runner %s: crashes on %s", r.id, a.id)
	server := r.server
	r.server = nil
	go func() {
		_ = server.Close() // all connections end
		time.Sleep(restartTime)
		l, err := net.Listen("tcp", r.address)
		if err != nil {
			r.bench.log("runner %s: cannot start again: %v", r.id, err)
			return
		}
		next := &http.Server{Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: time.Minute}
		r.mu.Lock()
		r.server, r.empty, r.born = next, true, time.Now().UnixMilli()
		r.mu.Unlock()
		r.bench.onClose(func() { _ = next.Close() })
		r.register(r.bench)
		_ = next.Serve(l) // it ends with a crash or with the case
	}()
}

// load holds all layers after loadTime.
func (r *modelRunner) load() {
	time.Sleep(loadTime)
	r.mu.Lock()
	r.empty = false
	r.mu.Unlock()
	r.register(r.bench)
}

const (
	restartTime = 2 * time.Second        // from a crash to the next start
	loadTime    = 200 * time.Millisecond // of all layers
)

// assistant returns the service of the model runners.
func assistant() map[string]any {
	return map[string]any{"name": "assistant", "engine": map[string]any{
		"kvBytes": 8000, "step_ms": 1, "layers": manyLayers, "layerMb": 1000, "usual": map[string]int{"prompt": 100, "answer": 100},
		"models": []any{map[string]any{"name": "m", "loadS": 14}},
		"kinds":  []any{map[string]any{"name": "l4", "sizeMb": 22000, "pace": 1, "readFactor": 1}},
	}}
}

func (r *modelRunner) serve(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path == "/report" {
		// A failed write means that the caller has gone.
		_ = json.NewEncoder(w).Encode(r.report())
		return
	}
	if q.URL.Path == "/order" {
		if r.isEmpty() {
			go r.load()
			w.WriteHeader(http.StatusAccepted)
		}
		return
	}
	if q.Header.Get("X-Bergamotspur-Expect-Instance") != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := q.Header.Get("X-Bergamotspur-Attempt-Id")
	_, _ = io.Copy(io.Discard, q.Body) // a body that breaks off ends the context of the request
	if r.isEmpty() {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.deadly != "" && q.URL.Path == r.deadly {
		r.crash(arrival{id: id, at: time.Now()})
		panic(http.ErrAbortHandler) // no header is sent
	}
	r.note(id, "runs")
	w.Header().Set("X-Bergamotspur-Attempt-Id", id)
	w.Header().Set("X-Bergamotspur-Server-Stamp", "stamp."+r.id)
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	pause := r.prefill
	for n := range r.events {
		// A failed flush means that the caller has gone.
		if control.Flush() != nil {
			break
		}
		select {
		case <-q.Context().Done():
			r.note(id, "its connection was closed while it ran")
			return
		case <-time.After(pause):
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token\n\n", n) // the same
		pause = eventPause
	}
	r.note(id, "answered")
}

// eventPause is the time between two events of a stream.
const eventPause = 20 * time.Millisecond

func (r *modelRunner) isEmpty() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.empty
}

// report returns the status of the runner.
func (r *modelRunner) report() map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := map[string]any{"born": r.born, "seq": 1, "kvUsed": 0, "kvTotal": 1e6, "pace": 1.0, "busy": false, "stalled": []any{}}
	if !r.empty {
		m["layers"] = map[string]int{"from": 0, "target": manyLayers, "version": 1}
	}
	return m
}

// crashes returns the arrivals of deadly requests.
func (r *modelRunner) crashes() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]arrival(nil), r.arrivals...)
}

func (r *modelRunner) note(id, end string) {
	if r.bench == nil {
		return
	}
	r.bench.log("runner %s: %s %s", r.id, id, end)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ends == nil {
		r.ends = map[string]string{}
	}
	r.ends[id] = end
}

// finished returns how the run of a request has ended; ok is false if the runner has not begun to run it.
func (r *modelRunner) finished(id string) (end string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	end, ok = r.ends[id]
	return end, ok
}
