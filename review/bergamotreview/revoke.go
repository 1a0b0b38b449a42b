package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"
)

const (
	// shortRevoke is revokeMs after the change of the settings.
	shortRevoke = 2500 * time.Millisecond
	storeCut    = 5500 * time.Millisecond // longest cut from the store on the small sites
)

// playRevoke shortens revokeMs in the settings, cuts the entry off from the store, and checks that a key which is revoked
// meanwhile is refused in time. The bound is that of the settings in force.
func playRevoke(ctx context.Context, b *bench, trouble bool) (broken []string, err error) {
	r, err := b.startRunner("i-ledger0", "ledger", 20*time.Millisecond)
	if err != nil {
		return nil, err
	}
	g := newGate()
	storeAddress, err := g.listen(b, http.HandlerFunc(b.store.Handler().ServeHTTP))
	if err != nil {
		return nil, err
	}
	services := []map[string]any{{"name": "ledger"}}
	routes := []map[string]any{route("payout", "/payout/", "non_idempotent", "ledger", time.Second)}
	b.configure(3, routes, services)
	e, err := b.startEntry(ctx, storeAddress)
	if err != nil {
		return nil, err
	}
	c := &callers{bench: b, address: e.front, timeout: time.Second}
	if err := c.await("first", "POST", "/payout/1"); err != nil {
		return nil, err
	}
	bound := revokeTime
	if trouble {
		bound = shortRevoke
		if err := os.WriteFile(e.file, []byte(e.settings(shortRevoke)), 0o600); err != nil {
			return nil, err
		}
		b.log("platform: revokeMs is %d in the settings file, SIGHUP", shortRevoke.Milliseconds())
		if err := e.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			return nil, err
		}
	}
	time.Sleep(6 * time.Second)
	g.cut()
	b.log("network: the entry is cut off from the store")
	acked := b.configureKeys(7, routes, services, "key-2")
	for n := 0; time.Since(acked) < storeCut; n++ {
		c.send(fmt.Sprintf("pay-%d", n), "POST", "/payout/1")
		time.Sleep(50 * time.Millisecond)
	}
	g.heal()
	b.log("network: the cut ends")
	sent := map[string]time.Time{}
	for _, o := range c.all() {
		sent[o.id] = o.sent
	}
	for _, a := range r.ran() {
		if s, known := sent[a.id]; known && s.Sub(acked) > bound+50*time.Millisecond {
			broken = append(broken, fmt.Sprintf("%s, sent %.2f s after its key was revoked, was run; revokeMs is %d", a.id, s.Sub(acked).Seconds(), bound.Milliseconds()))
		}
	}
	return broken, nil
}
