package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// heartbeat is heartbeatMs of the settings.
const heartbeat = 1200 * time.Millisecond

// kind is a kind of accelerator with the number of layers that its memory holds.
type kind struct {
	name   string
	layers int
}

// runner is a stand-in of a model runner.
type runner struct {
	id, service, zone string
	kind              kind
	address           string
	born              int64
	deployment        *deployment
	server            *server

	mu       sync.Mutex
	from, to int
	seq      int64
	beats    int64
	crashed  string // why it has crashed because of an order, empty if it has not
	ended    chan struct{}
}

// startRunner starts a runner at an address, a free one if it is empty. It registers after a delay, and then once in each heartbeat.
func (d *deployment) startRunner(id, service, zone string, k kind, address string, registerAfter time.Duration) (*runner, error) {
	r := &runner{id: id, service: service, zone: zone, kind: k, born: time.Now().UnixMilli(), deployment: d, ended: make(chan struct{})}
	if address == "" {
		address = "127.0.0.1:0"
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", r.report)
	mux.HandleFunc("POST /order", r.order)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Bergamotspur-Instance-Id", id) })
	var err error
	if r.server, err = serveAt(address, mux); err != nil {
		return nil, err
	}
	r.address = r.server.listener.Addr().String()
	d.record.write(id, "runner of %s (%s, %d layers at most) started at %s", service, k.name, k.layers, r.address)
	go r.beat(registerAfter)
	return r, nil
}

// beat writes the entry of the runner in the store.
func (r *runner) beat(delay time.Duration) {
	for {
		select {
		case <-r.ended:
			return
		case <-time.After(delay):
		}
		r.mu.Lock()
		r.beats++
		value := map[string]any{
			"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 192, "state": "ready", "coldRemainingMs": 0,
			"seq": r.beats, "born": r.born, "routeType": r.kind.name, "stage": "both", "models": []any{},
		}
		r.describe(value)
		r.mu.Unlock()
		if err := r.deployment.store.put("servers", r.id, value); err != nil {
			r.deployment.record.write(r.id, "not registered: %v", err)
			return
		}
		delay = heartbeat
	}
}

// describe adds the layers; the caller holds the lock.
func (r *runner) describe(m map[string]any) {
	if r.to > r.from {
		m["layers"] = map[string]int{"from": r.from, "target": r.to, "version": 1}
	}
}

func (r *runner) report(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := map[string]any{
		"stage": "both", "models": []any{}, "busy": false, "seq": r.seq, "queued": 0, "running": 0, "kvUsed": 0, "kvTotal": 1000000, "handles": 0,
		"born": r.born, "routeType": r.kind.name, "pace": 1.0, "stalled": []any{},
	}
	r.describe(m)
	_ = json.NewEncoder(w).Encode(m) // the entry may have gone away
}

// order carries an order out as PROTOCOL.md says: 421 if another instance is expected, 409 if seq differs, and a crash if it is ordered to
// hold more than its memory has room for.
func (r *runner) order(w http.ResponseWriter, q *http.Request) {
	text, err := io.ReadAll(q.Body)
	var in struct {
		Operation    string `json:"operation"`
		From         int    `json:"from"`
		To           int    `json:"target"`
		Precondition *int64 `json:"precondition"`
	}
	if err != nil || json.Unmarshal(text, &in) != nil || in.Operation != "place" || in.From < 0 || in.To < in.From {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	expected := q.Header.Get("X-Bergamotspur-Expect-Instance")
	r.mu.Lock()
	defer r.mu.Unlock()
	status := http.StatusAccepted
	switch {
	case expected != "" && expected != r.id:
		w.Header().Set("X-Bergamotspur-Instance-Id", r.id)
		status = http.StatusMisdirectedRequest
	case in.Precondition != nil && *in.Precondition != r.seq:
		status = http.StatusConflict
	case in.From == r.from && in.To == r.to:
		status = http.StatusOK
	}
	r.deployment.record.write(r.id, "order from %s: %s, expects instance %q: %d", q.RemoteAddr, text, expected, status)
	if status == http.StatusAccepted && in.To-in.From > r.kind.layers {
		r.crashed = string(text)
		r.deployment.record.write(r.id, "crashed: ordered to hold %d layers, its memory holds %d", in.To-in.From, r.kind.layers)
		go r.crash()
		return
	}
	if status == http.StatusAccepted {
		r.from, r.to, r.seq = in.From, in.To, r.seq+1
	}
	w.WriteHeader(status)
}

// crash ends the runner as a crash of its process does: it says nothing more. Its entry goes after three heartbeats.
func (r *runner) crash() {
	select {
	case <-r.ended:
		return
	default:
	}
	close(r.ended)
	r.server.crash()
	r.deployment.record.write(r.id, "ended")
	time.AfterFunc(3*heartbeat, func() {
		r.deployment.store.remove("servers", r.id)
		r.deployment.record.write(r.id, "its entry is removed after three intervals of silence")
	})
}

// crashCause returns the order on which the runner has crashed, empty for none.
func (r *runner) crashCause() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashed
}

// held returns the layers that the runner holds.
func (r *runner) held() (from, to int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.from, r.to
}
