package bergamotsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bergamotspur/io/bergamotfake"
)

// revokeTime is how long a key may be used after it was taken away; short, so that outages exceed it.
const revokeTime = 1600 * time.Millisecond

// target is a runner with the proxy in front of it.
type target struct {
	runner  *bergamotfake.RelayRunner
	proxy   *bergamotfake.Proxy
	server  *bergamotfake.Server
	service string
}

// world is a platform with entries, runners and callers.
type world struct {
	store   *bergamotfake.MetadataStore
	server  *bergamotfake.Server
	entries []*entry
	targets []*target
	results results
	version atomic.Int64
	revoked sync.Map // time of the acknowledgement by key
	steps   []string // faults so far, written by the script only
}

func newWorld(dir string) *world {
	w := &world{store: bergamotfake.NewMetadataStore()}
	var err error
	w.server, err = bergamotfake.Listen("127.0.0.1:0", w.store.Handler())
	must(err)
	for i := range 6 {
		w.target(fmt.Sprint("model-", i), "llm")
	}
	for i := range 3 {
		w.target(fmt.Sprint("app-", i), "app")
	}
	w.configure("key-0")
	for i := range 2 {
		e := newEntry(dir, fmt.Sprint("entry-", i), w.server.Address())
		e.run()
		w.entries = append(w.entries, e)
	}
	return w
}

func (w *world) target(id, service string) {
	r := bergamotfake.NewRelayRunner(id)
	s, err := bergamotfake.Listen("127.0.0.1:0", r.Handler())
	must(err)
	p, err := bergamotfake.NewProxy(s.Address())
	must(err)
	t := &target{runner: r, proxy: p, server: s, service: service}
	w.targets = append(w.targets, t)
	w.register(t, "ready")
}

// register writes the entry of a runner as its heartbeat does.
func (w *world) register(t *target, state string) {
	m := map[string]any{
		"service": t.service, "address": t.proxy.Address(), "zone": "a", "slots": 6, "state": state, "born": t.runner.StartTime(),
		"routeType": "l4",
	}
	if from, to := t.runner.Held(); to > from {
		m["layers"] = map[string]int{"from": from, "target": to, "version": 1}
	}
	w.store.Put("servers", t.runner.ID, m)
}

// configure writes the next version of the configuration with these keys and returns when the store has it.
func (w *world) configure(keys ...string) {
	route := func(name, prefix, routeType, service string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "hostname": "h.example", "pathPrefix": prefix, "routeType": routeType, "service": service,
			"timeoutMs": 4000, "targetLatencyMs": 300, "maxAttempts": attempts, "resumable": true,
		}
	}
	w.store.Put("op", "config", map[string]any{
		"version": w.version.Add(3),
		"routes": []any{
			route("once", "/o/", "non_idempotent", "app", 1), route("lookup", "/l/", "idempotent", "app", 2),
			route("stream", "/s/", "streaming", "llm", 2),
		},
		"services": []any{
			map[string]any{"name": "app"},
			map[string]any{"name": "llm", "engine": map[string]any{
				"kvBytes": 8000, "step_ms": 1, "layers": 8, "layerMb": 1000, "usual": map[string]int{"prompt": 100, "answer": 100},
				"models": []any{map[string]any{"name": "m", "loadS": 1}},
				"kinds":  []any{map[string]any{"name": "l4", "sizeMb": 5000, "pace": 1, "readFactor": 1}},
			}},
		},
		"tenants": []any{map[string]any{"name": "kitchen", "apiKeys": keys}},
	})
}

// call sends requests of all kinds until ctx ends.
func (w *world) call(ctx context.Context, n int, key func() string) {
	r := rand.New(rand.NewPCG(uint64(n), 1))
	names := []string{"booking", "lookup", "stream"}
	kept := &http.Client{Transport: &http.Transport{}}
	for i := 0; ctx.Err() == nil; i++ {
		client := kept
		if r.IntN(2) == 0 {
			client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		}
		e := w.entries[r.IntN(len(w.entries))]
		w.results.add(send(ctx, client, e.front, fmt.Sprintf("%d-%d-%d", n, i, r.Uint64()), names[r.IntN(3)], key()))
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(5+r.IntN(25)) * time.Millisecond):
		}
	}
}

// beat writes the entries of the runners again until ctx ends.
func (w *world) beat(ctx context.Context, leaving func(t *target) bool) {
	for ctx.Err() == nil {
		for _, t := range w.targets {
			if !leaving(t) {
				w.register(t, "ready")
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(300 * time.Millisecond):
		}
	}
}

// runs returns the runs of each request.
func (w *world) runs() map[string][]bergamotfake.RelayRun {
	out := map[string][]bergamotfake.RelayRun{}
	for _, t := range w.targets {
		for _, r := range t.runner.Runs() {
			out[r.ID] = append(out[r.ID], r)
		}
	}
	return out
}

// broken returns each promise that does not hold, in a fixed order.
func (w *world) broken() (out []string) {
	runs := w.runs()
	for _, v := range w.results.all() {
		n := len(runs[v.id])
		say := func(format string, a ...any) {
			out = append(out, fmt.Sprintf("%s %s (%d, %d runs): ", v.kind, v.id, v.status, n)+fmt.Sprintf(format, a...))
		}
		if n > kinds[v.kind].most {
			say("runs more often than its route allows")
		}
		if n > 0 && (v.status == 503 || v.status == 401 || v.status == 404) {
			say("is told as not run and has run")
		}
		if v.status == 200 && v.whole && !v.own() {
			say("gets an answer that is not its own: %q", v.body)
		}
		if v.status == 200 && v.whole && n == 0 {
			say("is answered without a run")
		}
		if at, ok := w.revoked.Load(v.key); ok && n > 0 && v.sent.After(at.(time.Time).Add(revokeTime)) {
			say("runs %s after its key was taken away", v.sent.Sub(at.(time.Time)))
		}
	}
	slices.Sort(out)
	return out
}

func (w *world) end() {
	for _, e := range w.entries {
		e.end()
	}
	for _, t := range w.targets {
		t.proxy.Close()
		t.server.Kill()
	}
	w.server.Kill()
}
