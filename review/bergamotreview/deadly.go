package main

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	deadlyPath     = "/draft/deadly"
	deadlyRunners  = 8
	deadlyPrefill  = 100 * time.Millisecond // from the header of an answer to its first event
	deadlyTime     = 30 * time.Second
	deadlyPause    = 2 * time.Second // from the end of a deadly request to the next time that it comes
	soundCallers   = 24              // kept connections with other requests
	retriesAllowed = 3               // of the rule
)

// playDeadly sends a request again and again on which each runner crashes that begins to run it, and checks that it is refused
// after the third crash.
func playDeadly(ctx context.Context, b *bench, trouble bool) (broken []string, err error) {
	g := newGate()
	var runners []*modelRunner
	for n := range deadlyRunners {
		r := &modelRunner{id: fmt.Sprintf("i-card%03d", n), born: time.Now().UnixMilli(), prefill: deadlyPrefill, events: leaveEvents, bench: b}
		if trouble {
			r.deadly = deadlyPath
		}
		if err := r.start(b, g); err != nil {
			return nil, err
		}
		runners = append(runners, r)
	}
	stream := route("draft", "/draft/", "streaming", "assistant", 20*time.Second)
	stream["resumable"], stream["maxAttempts"], stream["targetGapMs"], stream["targetLatencyMs"] = true, 2, 200, 500
	b.configure(3, []map[string]any{stream}, []map[string]any{assistant()})
	e, err := b.startEntry(ctx, b.storeAddress)
	if err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second) // the entries are counted after 3 s
	c := &callers{bench: b, address: e.front, timeout: 20 * time.Second}
	calling, cancel := context.WithCancel(ctx)
	defer cancel()
	var wait sync.WaitGroup
	var sound, lost atomic.Int64
	for n := range soundCallers {
		wait.Go(func() {
			keptStreams(calling, e.front, fmt.Sprintf("draft-%d", n), func(r streamResult) {
				b.log("caller: %s status %d events %d %s", r.id, r.status, r.events, r.err)
				sound.Add(1)
				if r.status == http.StatusOK && r.err != "" {
					lost.Add(1)
				}
			})
		})
	}
	began := time.Now()
	for n := 0; time.Since(began) < deadlyTime; n++ {
		id := fmt.Sprintf("deadly-%d", n)
		o := c.exchange(id, "POST", deadlyPath)
		b.log("caller: %s status %d %s", id, o.status, o.err)
		time.Sleep(deadlyPause)
	}
	cancel()
	wait.Wait()
	b.log("callers: %d of %d other streams were broken off", lost.Load(), sound.Load())
	var crashes []arrival
	for _, r := range runners {
		crashes = append(crashes, r.crashes()...)
	}
	slices.SortFunc(crashes, func(x, y arrival) int { return cmp.Compare(x.at.UnixNano(), y.at.UnixNano()) })
	for n, a := range crashes {
		if n >= 3 && a.at.Sub(crashes[2].at) > contactTime {
			broken = append(broken, fmt.Sprintf("%s reached a runner %.2f s after the third crash", a.id, a.at.Sub(crashes[2].at).Seconds()))
		}
	}
	b.log("the request crashed runners %d times", len(crashes))
	if len(broken) <= retriesAllowed {
		return nil, nil
	}
	return broken, nil
}
