package main

import (
	"context"
	"fmt"
	"time"
)

const (
	manyRunners = 216              // model runners of the large site
	cutTime     = 12 * time.Second // longest cut of machines on the large site
	cuts        = 3
	cutPause    = 6 * time.Second // from the end of a cut to the next one
)

// playMany cuts the entry off from the store and from the runners, and checks that it takes on a desired state that comes
// after that.
func playMany(ctx context.Context, b *bench, trouble bool) (broken []string, err error) {
	g := newGate()
	storeAddress, _, err := g.listen(b, b.store.Handler())
	if err != nil {
		return nil, err
	}
	for n := range manyRunners {
		r := &modelRunner{id: fmt.Sprintf("i-card%03d", n), born: time.Now().UnixMilli(), events: 5}
		if err := r.start(b, g); err != nil {
			return nil, err
		}
	}
	before, err := b.startRunner("i-old", "ledger", callWork)
	if err != nil {
		return nil, err
	}
	if _, err = b.startRunner("i-new", "ledger-two", callWork); err != nil {
		return nil, err
	}
	services := []map[string]any{{"name": "ledger"}, {"name": "ledger-two"}, assistant()}
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
		if !known || s.Sub(acked) <= applyTime+checkMargin {
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
