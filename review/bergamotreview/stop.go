package main

import (
	"context"
	"fmt"
	"syscall"
	"time"
)

const (
	stopWork    = 2 * time.Second // of each call at its runner
	stopTimeout = 6 * time.Second // of the route and of the callers
)

// playStop stops the only entry of a deployment while callers go on, and checks that no call that it has passed on to a
// runner ends without an answer.
func playStop(ctx context.Context, b *bench, trouble bool) (broken []string, err error) {
	var runners []*runner
	for n := range 3 {
		r, err := b.startRunner(fmt.Sprintf("i-ledger%d", n), "ledger", stopWork)
		if err != nil {
			return nil, err
		}
		runners = append(runners, r)
	}
	b.configure(3, []map[string]any{route("payout", "/payout/", "non_idempotent", "ledger", stopTimeout)}, []map[string]any{{"name": "ledger"}})
	e, err := b.startEntry(ctx, b.storeAddress)
	if err != nil {
		return nil, err
	}
	c := &callers{bench: b, address: e.front, timeout: stopTimeout}
	if err := c.await("first", "POST", "/payout/1"); err != nil {
		return nil, err
	}
	time.Sleep(contactTime) // the machine is in touch from here on
	stopped := time.Now()
	if trouble {
		b.log("platform: SIGTERM")
		if err := e.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return nil, err
		}
	}
	// The runners have 18 slots and each call takes one for 2 s, so that no call waits for one.
	for n := 0; time.Since(stopped) < graceTime; n++ {
		c.send(fmt.Sprintf("pay-%d", n), "POST", "/payout/1")
		time.Sleep(250 * time.Millisecond)
	}
	outcomes := c.all()
	ran := map[string]arrival{}
	for _, r := range runners {
		for _, a := range r.ran() {
			ran[a.id] = a
		}
	}
	for _, o := range outcomes {
		a, passedOn := ran[o.id]
		inLastSixth := o.ended.Sub(stopped) >= graceTime*5/6 && o.sent.Sub(stopped) <= 3*time.Second
		if !passedOn || o.err == "" || o.ended.Sub(o.sent) >= stopTimeout || inLastSixth {
			continue
		}
		broken = append(broken, fmt.Sprintf("%s, sent %.2f s after the SIGTERM, was run by a runner (%s) and its connection ended %.2f s after the SIGTERM: %s",
			o.id, o.sent.Sub(stopped).Seconds(), a.end, o.ended.Sub(stopped).Seconds(), o.err))
	}
	return broken, nil
}
