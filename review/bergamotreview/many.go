package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	manyRunners = 216              // model runners of the large site
	cutTime     = 12 * time.Second // longest cut of machines on the large site
	cuts        = 3
	cutPause    = 6 * time.Second // from the end of a cut to the next one
	manyLayers  = 8
)

// modelRunner is a stand-in for a runner of a model engine that holds all layers of a small model.
type modelRunner struct {
	id      string
	address string
	born    int64
}

func (r *modelRunner) serve(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path == "/report" {
		// A failed write means that the caller has gone.
		_ = json.NewEncoder(w).Encode(map[string]any{
			"born": r.born, "seq": 1, "kvUsed": 0, "kvTotal": 1e6, "pace": 1.0, "busy": false, "stalled": []any{},
			"layers": map[string]int{"from": 0, "target": manyLayers, "version": 1},
		})
		return
	}
	if q.URL.Path == "/order" {
		w.WriteHeader(http.StatusOK)
		return
	}
	if q.Header.Get("X-Bergamotspur-Expect-Instance") != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, q.Body) // a body that breaks off ends the context of the request
	w.Header().Set("X-Bergamotspur-Attempt-Id", q.Header.Get("X-Bergamotspur-Attempt-Id"))
	w.Header().Set("X-Bergamotspur-Server-Stamp", "stamp."+r.id)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := range 5 {
		// A failed write means that the caller has gone; Flush then fails too.
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token\n\n", n)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// playMany cuts the entry off from the store and from the runners, and checks that it takes on a desired state that comes
// after that.
func playMany(ctx context.Context, b *bench, trouble bool) (broken []string, err error) {
	g := newGate()
	storeAddress, err := g.listen(b, b.store.Handler())
	if err != nil {
		return nil, err
	}
	for n := range manyRunners {
		r := &modelRunner{id: fmt.Sprintf("i-card%03d", n), born: time.Now().UnixMilli()}
		if r.address, err = g.listen(b, http.HandlerFunc(r.serve)); err != nil {
			return nil, err
		}
		b.store.Put(tableRunners, r.id, map[string]any{
			"service": "assistant", "address": r.address, "zone": zoneName, "version": "1", "slots": 192, "state": "ready",
			"coldRemainingMs": 0, "seq": 1, "born": r.born, "routeType": "l4", "layers": map[string]int{"from": 0, "target": manyLayers, "version": 1},
		})
	}
	before, err := b.startRunner("i-old", "ledger", silentWork)
	if err != nil {
		return nil, err
	}
	if _, err = b.startRunner("i-new", "ledger-two", silentWork); err != nil {
		return nil, err
	}
	services := []map[string]any{{"name": "ledger"}, {"name": "ledger-two"}, {"name": "assistant", "engine": map[string]any{
		"kvBytes": 8000, "step_ms": 1, "layers": manyLayers, "layerMb": 1000, "usual": map[string]int{"prompt": 100, "answer": 100},
		"models": []any{map[string]any{"name": "m", "loadS": 14}},
		"kinds":  []any{map[string]any{"name": "l4", "sizeMb": 22000, "pace": 1, "readFactor": 1}},
	}}}
	stream := route("draft", "/draft/", "streaming", "assistant", 20*time.Second)
	stream["resumable"], stream["maxAttempts"], stream["targetGapMs"], stream["targetLatencyMs"] = true, 2, 200, 500
	balance := func(service string) map[string]any {
		m := route("balance", "/balance/", "idempotent", service, time.Second)
		m["public"] = true
		return m
	}
	b.configure(3, []map[string]any{stream, balance("ledger")}, services)
	e, err := b.startEntry(ctx, storeAddress)
	if err != nil {
		return nil, err
	}
	c := &callers{bench: b, address: e.front, timeout: time.Second}
	if err := c.await("first", "GET", "/balance/1"); err != nil {
		return nil, err
	}
	drafts := &callers{bench: b, address: e.front, timeout: 4 * time.Second}
	time.Sleep(6 * time.Second)
	for n := range cuts {
		if n > 0 {
			time.Sleep(cutPause)
		}
		playCut(g, drafts, n, trouble)
	}
	healed := time.Now()
	time.Sleep(contactTime)
	acked := b.configure(7, []map[string]any{stream, balance("ledger-two")}, services)
	for n := 0; time.Since(acked) < 12*time.Second; n++ {
		c.send(fmt.Sprintf("read-%d", n), "GET", "/balance/1")
		time.Sleep(250 * time.Millisecond)
	}
	sent := map[string]time.Time{}
	for _, o := range c.all() {
		sent[o.id] = o.sent
	}
	for _, a := range before.ran() {
		s, known := sent[a.id]
		if !known || s.Sub(acked) <= applyTime+silentMargin {
			continue
		}
		broken = append(broken, fmt.Sprintf("%s, sent %.2f s after the acknowledgement and %.2f s after the end of the cut, was run by the old service",
			a.id, s.Sub(acked).Seconds(), s.Sub(healed).Seconds()))
	}
	return broken, nil
}

// playCut cuts the path for cutTime while callers go on.
func playCut(g *gate, drafts *callers, cut int, trouble bool) {
	began := time.Now()
	if trouble {
		g.cut()
		drafts.bench.log("network: the entry is cut off from the store and from the model runners")
	}
	for n := 0; time.Since(began) < cutTime; n++ {
		drafts.send(fmt.Sprintf("draft-%d-%d", cut, n), "POST", "/draft/1")
		time.Sleep(5 * time.Millisecond)
	}
	if trouble {
		g.heal()
		drafts.bench.log("network: the cut ends")
	}
}
