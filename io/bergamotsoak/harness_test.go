package bergamotsoak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bergamotspur/io/bergamotfake"
)

// maxRevocationTime is how long after its revocation a key may still be accepted; it is shorter than the longest outages
// that the soak injects.
const maxRevocationTime = 1600 * time.Millisecond

// target is a runner behind a proxy.
type target struct {
	runner  *bergamotfake.RelayRunner
	proxy   *bergamotfake.Proxy
	server  *bergamotfake.Server
	service string
}

// cut is a time in which some entries, but not all, were cut off from the runners.
type cut struct {
	kind     bergamotfake.Cut
	entries  []*entry
	from, to time.Time
}

// harness runs the fake platform, the runners and the entries, and collects the results of the callers.
type harness struct {
	store   *bergamotfake.MetadataStore
	server  *bergamotfake.Server
	entries []*entry
	targets []*target
	results results
	kinds   []string // of the requests that callers send
	version atomic.Int64
	revoked sync.Map // time at which the store confirmed the revocation, by key
	cuts    []cut    // that no other fault overlapped
	// limitFrom and limitTo are the time in which the last target had a limit that all entries knew.
	limitFrom, limitTo time.Time
}

// newHarness starts entries in the data centres of the soak.
func newHarness(dir string) *harness {
	h := newHarnessOf(dir, "", "a", "a", "b")
	h.kinds = slices.Sorted(maps.Keys(kinds))
	return h
}

// newHarnessOf starts an entry of a build in each of the data centres; an empty program is this build.
func newHarnessOf(dir, program string, centres ...string) *harness {
	h := &harness{store: bergamotfake.NewMetadataStore(), kinds: baseKinds}
	var err error
	h.server, err = bergamotfake.Listen("127.0.0.1:0", h.store.Handler())
	must(err)
	for i := range 6 {
		h.addTarget(fmt.Sprint("model-", i), "llm")
	}
	for i := range 3 {
		h.addTarget(fmt.Sprint("app-", i), "app")
	}
	h.writeConfig("key-0")
	for i, centre := range centres {
		e := newEntry(dir, fmt.Sprint("entry-", i), centre, h.server.Address())
		e.program = program
		e.run()
		h.entries = append(h.entries, e)
	}
	return h
}

func (h *harness) addTarget(id, service string) {
	r := bergamotfake.NewRelayRunner(id)
	s, err := bergamotfake.Listen("127.0.0.1:0", r.Handler())
	must(err)
	p, err := bergamotfake.NewProxy(s.Address())
	must(err)
	t := &target{runner: r, proxy: p, server: s, service: service}
	h.targets = append(h.targets, t)
	h.register(t, "ready")
}

// register writes the row of a runner, as its heartbeat does.
func (h *harness) register(t *target, state string) {
	m := map[string]any{
		"service": t.service, "address": t.proxy.Address(), "zone": "a", "slots": 6, "state": state, "born": t.runner.StartTime(),
		"routeType": "l4",
	}
	if from, to := t.runner.Held(); to > from {
		m["layers"] = map[string]int{"from": from, "target": to, "version": 1}
	}
	h.store.Put("servers", t.runner.ID, m)
}

// writeConfig writes the next version of the configuration with these keys; it returns after the store has it.
func (h *harness) writeConfig(keys ...string) {
	route := func(name, prefix, routeType, service string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "hostname": "h.example", "pathPrefix": prefix, "routeType": routeType, "service": service,
			"timeoutMs": 4000, "targetLatencyMs": 300, "maxAttempts": attempts, "resumable": true,
		}
	}
	h.store.Put("op", "config", map[string]any{
		"version": h.version.Add(3),
		"routes": []any{
			route("once", "/o/", "non_idempotent", "app", 1), route("lookup", "/l/", "idempotent", "app", 2),
			route("stream", "/s/", "streaming", "llm", 2), route("whole", "/whole/", "non_idempotent", "llm", 1), route("events", "/events/", "streaming", "app", 2),
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

// sendRequests sends requests of random kinds to random entries until ctx ends.
func (h *harness) sendRequests(ctx context.Context, n int, key func() string) {
	r := rand.New(rand.NewPCG(uint64(n), 1))
	kept := &http.Client{Transport: &http.Transport{}}
	for i := 0; ctx.Err() == nil; i++ {
		client := kept
		if r.IntN(2) == 0 {
			client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		}
		e := h.entries[r.IntN(len(h.entries))]
		h.results.add(send(ctx, client, e, fmt.Sprintf("%d-%d-%d", n, i, r.Uint64()), h.kinds[r.IntN(len(h.kinds))], key()))
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(5+r.IntN(25)) * time.Millisecond):
		}
	}
}

// sendHeartbeats keeps writing the rows of the runners that are not leaving until ctx ends.
func (h *harness) sendHeartbeats(ctx context.Context, leaving func(t *target) bool) {
	for ctx.Err() == nil {
		for _, t := range h.targets {
			if !leaving(t) {
				h.register(t, "ready")
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(300 * time.Millisecond):
		}
	}
}

// runsByID returns the runs of each request by its attempt id.
func (h *harness) runsByID() map[string][]bergamotfake.RelayRun {
	out := map[string][]bergamotfake.RelayRun{}
	for _, t := range h.targets {
		for _, r := range t.runner.Runs() {
			out[r.ID] = append(out[r.ID], r)
		}
	}
	return out
}

// limitViolations returns the spans of time in which the runner with a limit got more than the platform allows.
func (h *harness) limitViolations() (out []string) {
	const span = 4 * time.Second
	limited := h.targets[len(h.targets)-1].runner
	for from := h.limitFrom; !from.Add(span).After(h.limitTo); from = from.Add(100 * time.Millisecond) {
		if n := limited.RunsIn(from, from.Add(span)); float64(n) > 1.5*cutLimit*span.Seconds()+5 {
			out = append(out, fmt.Sprintf("%s got %d requests in %s at a limit of %v a second", limited.ID, n, span, cutLimit))
		}
	}
	return out
}

// violations returns a sorted list of the guarantees that were broken, with the request that shows each.
func (h *harness) violations() (out []string) {
	out = h.limitViolations()
	runsByID := h.runsByID()
	for _, v := range h.results.all() {
		n := len(runsByID[v.id])
		add := func(format string, a ...any) {
			out = append(out, fmt.Sprintf("%s %s (%d, %d runs): ", v.kind, v.id, v.status, n)+fmt.Sprintf(format, a...))
		}
		if n > kinds[v.kind].maxRuns {
			add("ran more often than its route allows")
		}
		if n > 0 && (v.status == 503 || v.status == 401 || v.status == 404) {
			add("was refused as not run, but ran")
		}
		if v.status == 200 && v.complete && !v.isExpectedAnswer() {
			add("received an answer that is not its own: %q", v.body)
		}
		if v.status == 200 && v.complete && n == 0 {
			add("was answered without a run")
		}
		if at, ok := h.revoked.Load(v.key); ok && n > 0 && v.sent.After(at.(time.Time).Add(maxRevocationTime)) {
			add("ran %s after its key was revoked", v.sent.Sub(at.(time.Time)))
		}
		if c := h.cutDuring(v); c != nil && (v.status != 200 || !v.complete) {
			add("was not served by %s, cut off by %s for %s, though another entry could help", v.entry.name, c.kind, v.sent.Sub(c.from))
		}
	}
	slices.Sort(out)
	return out
}

// cutDuring returns the cut in which a request came to an entry that was cut off, until it ended, nil for none.
func (h *harness) cutDuring(v result) *cut {
	for _, c := range h.cuts {
		if slices.Contains(c.entries, v.entry) && v.sent.After(c.from) && v.ended.Before(c.to) {
			return &c
		}
	}
	return nil
}

func (h *harness) close() {
	for _, e := range h.entries {
		e.close()
	}
	for _, t := range h.targets {
		t.proxy.Close()
		t.server.Kill()
	}
	h.server.Kill()
}
