package main

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	silentWork = 100 * time.Millisecond
	// servesOn is how long the runner serves after its entry has been removed: drainMs and a little longer.
	servesOn = drainTime + 1500*time.Millisecond
	// silentMargin is added to the bounds, for the time that a request takes from its caller to a runner.
	silentMargin = 100 * time.Millisecond
)

// playSilent makes the entry's open connections to the store silent, lets a runner leave, and checks that the runner gets no
// request later than drainMs after that once the machine is in touch again.
func playSilent(ctx context.Context, b *bench, trouble bool) (broken []string, err error) {
	var runners []*runner
	for n := range 3 {
		r, err := b.startRunner(fmt.Sprintf("i-ledger%d", n), "ledger", silentWork)
		if err != nil {
			return nil, err
		}
		runners = append(runners, r)
	}
	b.configure(3, []map[string]any{route("payout", "/payout/", "non_idempotent", "ledger", time.Second)}, []map[string]any{{"name": "ledger"}})
	p, err := b.startProxy(b.storeAddress)
	if err != nil {
		return nil, err
	}
	polled := make(chan struct{})
	var once sync.Once
	var armed time.Time
	p.onData = func(data []byte) {
		if bytes.Contains(data, []byte("/rows-feed?")) && bytes.Contains(data, []byte("table="+tableRunners+"&")) && time.Since(armed) > 0 {
			once.Do(func() { close(polled) })
		}
	}
	armed = time.Now().Add(8 * time.Second)
	e, err := b.startEntry(ctx, p.address)
	if err != nil {
		return nil, err
	}
	c := &callers{bench: b, address: e.front, timeout: time.Second}
	if err := c.await("first", "POST", "/payout/1"); err != nil {
		return nil, err
	}
	select {
	case <-polled:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	time.Sleep(50 * time.Millisecond) // the read waits at the store
	silenced := time.Now()
	if trouble {
		b.log("network: %d open connections to the store go silent, new ones work", p.silence())
	}
	time.Sleep(500 * time.Millisecond)
	gone := runners[0]
	b.store.Remove(tableRunners, gone.id)
	acked := time.Now()
	b.log("store: the entry of %s is removed; it serves on for %v, then exits", gone.id, servesOn)
	exit := time.AfterFunc(servesOn, func() {
		b.log("runner %s: exits", gone.id)
		gone.server.Kill()
	})
	defer exit.Stop()
	for n := 0; time.Since(silenced) < 8*time.Second; n++ {
		c.send(fmt.Sprintf("pay-%d", n), "POST", "/payout/1")
		time.Sleep(25 * time.Millisecond)
	}
	sent := map[string]time.Time{}
	for _, o := range c.all() {
		sent[o.id] = o.sent
	}
	for _, a := range gone.ran() {
		s, known := sent[a.id]
		if !known || a.at.Sub(acked) <= drainTime+silentMargin || s.Sub(silenced) <= contactTime+silentMargin {
			continue
		}
		broken = append(broken, fmt.Sprintf("%s reached %s %.2f s after the store acknowledged that it is gone; sent %.2f s after the connections went silent",
			a.id, gone.id, a.at.Sub(acked).Seconds(), s.Sub(silenced).Seconds()))
	}
	return broken, nil
}
