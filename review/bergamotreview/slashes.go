package main

import (
	"context"
	"fmt"
	"time"
)

// playSlashes adds a route for all paths of a host and checks that a path with two leading slashes arrives unchanged.
func playSlashes(ctx context.Context, b *bench, trouble bool) (broken []string, err error) {
	r, err := b.startRunner("i-ledger0", "ledger", callWork)
	if err != nil {
		return nil, err
	}
	services := []map[string]any{{"name": "ledger"}}
	routes := []map[string]any{route("payout", "/payout/", "non_idempotent", "ledger", time.Second)}
	b.configure(3, routes, services)
	e, err := b.startEntry(ctx, b.storeAddress)
	if err != nil {
		return nil, err
	}
	c := &callers{bench: b, address: e.front, timeout: time.Second}
	if err := c.await("first", "POST", "/payout/1"); err != nil {
		return nil, err
	}
	time.Sleep(contactTime)
	if trouble {
		b.configure(7, append(routes, route("all", "/", "non_idempotent", "ledger", time.Second)), services)
	}
	time.Sleep(applyTime + 100*time.Millisecond)
	targets := map[string]string{}
	for n, target := range []string{"/payout/2?day=5", "//payout/2?day=5", "//kiosk/balance", "/payout//2"} {
		id := fmt.Sprintf("pay-%d", n)
		targets[id] = target
		c.send(id, "POST", target)
	}
	c.all()
	for _, a := range r.ran() {
		if target, known := targets[a.id]; known && a.target != target {
			broken = append(broken, fmt.Sprintf("%s was sent to %s; the runner got the target %s, host %s and path %s", a.id, target, a.target, a.host, a.path))
		}
	}
	return broken, nil
}
