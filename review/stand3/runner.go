package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
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

const (
	// streamEvents is the number of events of each stream, and eventInterval the time between two of them.
	streamEvents  = 20
	eventInterval = 20 * time.Millisecond
	// appService is a service without a model, and callTime the time of its answers.
	appService = "pickup"
	callTime   = 160 * time.Millisecond
)

// runner is a stand-in of a model runner.
type runner struct {
	id, service, zone string
	kind              kind
	address           string
	deployment        *deployment
	// onRun is called when a request begins to run, with a function that sends its next event. It reports whether the runner goes on with it;
	// nil for runners that always do.
	onRun func(r *runner, q *http.Request, next func()) bool

	mu       sync.Mutex
	server   *server
	born     int64
	from, to int
	seq      int64
	beats    int64
	crashed  string        // why it has crashed because of an order, empty if it has not
	ended    chan struct{} // closed when the process ends
}

// startRunner starts a runner at an address, a free one if it is empty. It registers after a delay, and then once in each heartbeat.
func (d *deployment) startRunner(id, service, zone string, k kind, address string, registerAfter time.Duration) (*runner, error) {
	r := &runner{id: id, service: service, zone: zone, kind: k, address: address, deployment: d}
	if address == "" {
		r.address = "127.0.0.1:0"
	}
	return r, r.start(registerAfter)
}

// start starts a process of the runner, which holds and knows nothing of an earlier one.
func (r *runner) start(registerAfter time.Duration) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", r.report)
	mux.HandleFunc("POST /order", r.order)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Bergamotspur-Instance-Id", r.id) })
	mux.HandleFunc("POST /", r.run)
	s, err := serveAt(r.address, mux)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.address, r.server, r.ended = s.listener.Addr().String(), s, make(chan struct{})
	r.born, r.from, r.to, r.seq = time.Now().UnixMilli(), 0, 0, 0
	r.deployment.record.write(r.id, "runner of %s (%s, %d layers at most) started at %s", r.service, r.kind.name, r.kind.layers, r.address)
	go r.beat(registerAfter, r.ended)
	return nil
}

// run answers a request with a stream of events, after the one that the request names.
func (r *runner) run(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return // the entry has gone away
	}
	id, h := q.Header.Get("X-Bergamotspur-Attempt-Id"), w.Header()
	if expected := q.Header.Get("X-Bergamotspur-Expect-Instance"); expected != "" && expected != r.id {
		h.Set("X-Bergamotspur-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.service == appService {
		r.runCall(w, id)
		return
	}
	if from, to := r.held(); to-from < modelLayers {
		w.WriteHeader(http.StatusMisdirectedRequest) // its paths have one runner only
		return
	}
	h.Set("X-Bergamotspur-Attempt-Id", id)
	h.Set("X-Bergamotspur-Server-Stamp", r.id)
	h.Set("Content-Type", "text/event-stream")
	first, last := 0, q.Header.Get("Last-Event-Id")
	if n, err := strconv.Atoi(last); err == nil {
		first = n + 1
	}
	control, n := http.NewResponseController(w), first
	next := func() {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", n, n) // the entry may have gone away
		_ = control.Flush()
		n++
	}
	if r.onRun != nil && !r.onRun(r, q, next) {
		panic(http.ErrAbortHandler)
	}
	if len(body) == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for n < streamEvents {
		select {
		case <-q.Context().Done():
			return
		case <-time.After(eventInterval):
		}
		next()
	}
}

// runCall answers a request as a whole, in two parts and without a length.
func (r *runner) runCall(w http.ResponseWriter, id string) {
	c, out, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err) // the server supports it
	}
	defer func() { _ = c.Close() }() // the answer has ended
	time.Sleep(callTime / 2)
	answer := callAnswer(id)
	r.deployment.record.write(r.id, "runs %s", id)
	_, _ = fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: application/json\r\n"+
		"X-Bergamotspur-Attempt-Id: %s\r\nX-Bergamotspur-Server-Stamp: %s\r\n\r\n%s", id, r.id, answer[:len(answer)/2])
	if out.Flush() != nil {
		return // the entry has gone away
	}
	time.Sleep(callTime / 2)
	_, _ = out.WriteString(answer[len(answer)/2:])
	if out.Flush() == nil {
		r.deployment.record.write(r.id, "has sent all of %s", id)
	}
}

// callAnswer returns the answer to a call, of about 800 bytes.
func callAnswer(id string) string {
	return `{"booked":"` + id + `","slot":"tuesday-10","notes":"` + strings.Repeat("courier ", 90) + `","end":true}`
}

// beat writes the entry of the runner in the store whenever more than its seq has changed since the last beat.
func (r *runner) beat(delay time.Duration, ended <-chan struct{}) {
	last := ""
	for {
		select {
		case <-ended:
			return
		case <-time.After(delay):
		}
		delay = heartbeat
		r.mu.Lock()
		r.beats++
		value := map[string]any{
			"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 192, "state": "ready", "coldRemainingMs": 0,
			"born": r.born, "routeType": r.kind.name, "stage": "both", "models": []any{},
		}
		r.describe(value)
		text := fmt.Sprint(value) // maps are printed in the order of their keys
		value["seq"] = r.beats
		r.mu.Unlock()
		if text == last {
			continue
		}
		last = text
		if err := r.deployment.register(r.id, value); err != nil {
			r.deployment.record.write(r.id, "not registered: %v", err)
			return
		}
		r.deployment.record.write(r.id, "has written its entry: %s", text)
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

// end ends the process as a crash does: it says nothing more. It reports whether it still ran.
func (r *runner) end() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.ended:
		return false
	default:
	}
	close(r.ended)
	r.server.crash()
	r.deployment.record.write(r.id, "ended")
	return true
}

// crash ends the runner for good. Its entry goes after three heartbeats.
func (r *runner) crash() {
	if !r.end() {
		return
	}
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
