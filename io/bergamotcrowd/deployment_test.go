//go:build crowd

package bergamotcrowd

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/io/bergamotfake"
)

const (
	hostName = "h.example"
	// largeAnswer is the size of the answers below pathLarge. It is below the largest answer that an entry takes from a
	// runner and above what the kernel holds for a caller that does not read.
	largeAnswer = 7 << 20
	pathLarge   = "/o/large" // answered with largeAnswer bytes
	pathHeld    = "/o/held"  // answered after release
	// graceTime is the grace time of the settings.
	graceTime = 3 * time.Second
	// retryInterval is the time between two tries of a request that has to be answered in the end.
	retryInterval = 200 * time.Millisecond
)

// deployment is an entry in front of fakes of the store and of the runners.
type deployment struct {
	machine  machine
	entry    *process
	store    *bergamotfake.MetadataStore
	models   []*bergamotfake.RelayRunner // three runners, two of which can hold all layers of the model
	apps     []*bergamotfake.RelayRunner
	front    string
	ready    string
	metrics  string
	peers    string // port for other entries
	released chan struct{}
	held     atomic.Int64 // requests below pathHeld that have reached a runner
	requests atomic.Int64 // ordinary requests, for their ids
}

// newDeployment starts everything and waits until a call and a stream are served.
func newDeployment(ctx context.Context, m machine) *deployment {
	free := freeAddresses(4)
	d := &deployment{
		machine: m, store: bergamotfake.NewMetadataStore(), released: make(chan struct{}),
		front: free[0], ready: free[1], metrics: free[2], peers: free[3],
	}
	store := d.listen(d.store.Handler())
	addresses := map[string]string{}
	for i := range 3 {
		d.models = append(d.models, d.startRunner(fmt.Sprint("model-", i), addresses))
	}
	for i := range 2 {
		d.apps = append(d.apps, d.startRunner(fmt.Sprint("app-", i), addresses))
	}
	d.writeConfig()
	register := func() {
		for _, r := range d.models {
			d.register(r, "llm", addresses[r.ID])
		}
		for _, r := range d.apps {
			d.register(r, "app", addresses[r.ID])
		}
	}
	register()
	_, metricsPort, err := net.SplitHostPort(d.metrics)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	d.entry = startProcess("platform", "--settings", d.writeSettings(store), "--metrics", metricsPort)
	d.waitServed(ctx, "/o/1")
	gomega.Eventually(ctx, func() int {
		d.entry.expectAlive()
		register() // with the layers that have been placed
		return d.send(ctx, "/s/1").status
	}).WithPolling(retryInterval).Should(gomega.Equal(http.StatusOK), d.entry.log.tail)
	return d
}

// listen serves h on a free loopback port until the end of the spec.
func (d *deployment) listen(h http.Handler) (address string) {
	s, err := bergamotfake.Listen("127.0.0.1:0", h)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(s.Kill)
	return s.Address()
}

func (d *deployment) startRunner(id string, addresses map[string]string) *bergamotfake.RelayRunner {
	r := bergamotfake.NewRelayRunner(id)
	addresses[id] = d.listen(d.runnerHandler(r))
	return r
}

// runnerHandler returns the handler of a runner that also gives large and held answers.
func (d *deployment) runnerHandler(r *bergamotfake.RelayRunner) http.Handler {
	next := r.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		switch {
		case strings.HasPrefix(q.URL.Path, pathLarge):
			w.Header().Set("X-Bergamotspur-Attempt-Id", q.Header.Get("X-Bergamotspur-Attempt-Id"))
			w.Header().Set("X-Bergamotspur-Server-Stamp", "stamp-"+r.ID)
			w.Header().Set("Content-Length", strconv.Itoa(largeAnswer))
			piece := make([]byte, 64<<10)
			for sent := 0; sent < largeAnswer; sent += len(piece) {
				if _, err := w.Write(piece); err != nil {
					return
				}
			}
		case strings.HasPrefix(q.URL.Path, pathHeld):
			d.held.Add(1)
			select {
			case <-d.released:
			case <-q.Context().Done():
			}
			next.ServeHTTP(w, q)
		default:
			next.ServeHTTP(w, q)
		}
	})
}

// register writes the row of a runner with the layers that it holds.
func (d *deployment) register(r *bergamotfake.RelayRunner, service, address string) {
	m := map[string]any{
		"service": service, "address": address, "zone": "a", "slots": 1000, "state": "ready", "born": r.StartTime(), "routeType": "l4",
	}
	if from, to := r.Held(); to > from {
		m["layers"] = map[string]int{"from": from, "target": to, "version": 1}
	}
	d.store.Put("servers", r.ID, m)
}

// Keys of the workspace that sends ordinary requests and of the one that sends the load.
const (
	ordinaryKey = "key-1"
	loadKey     = "key-2"
)

func (d *deployment) writeConfig() {
	route := func(name, prefix, kind, service string) map[string]any {
		return map[string]any{
			"name": name, "hostname": hostName, "pathPrefix": prefix, "routeType": kind, "service": service,
			"timeoutMs": 20000, "targetLatencyMs": 500, "maxAttempts": 2,
		}
	}
	d.store.Put("op", "config", map[string]any{
		"version": 3,
		"routes":  []any{route("once", "/o/", "non_idempotent", "app"), route("stream", "/s/", "streaming", "llm")},
		"services": []any{
			map[string]any{"name": "app"},
			map[string]any{"name": "llm", "engine": map[string]any{
				"kvBytes": 8000, "step_ms": 1, "layers": 8, "layerMb": 1000, "usual": map[string]int{"prompt": 100, "answer": 100},
				"models": []any{map[string]any{"name": "m", "loadS": 1}},
				"kinds":  []any{map[string]any{"name": "l4", "sizeMb": 5000, "pace": 1, "readFactor": 1}},
			}},
		},
		"limits": map[string]int{
			"maxBodyBytes": d.machine.maxBody(), "maxHeaderBytes": maxHead, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
		},
		"tenants": []any{
			map[string]any{"name": "kitchen", "apiKeys": []string{ordinaryKey}},
			map[string]any{"name": "crowd", "apiKeys": []string{loadKey}},
		},
	})
}

func (d *deployment) writeSettings(store string) (file string) {
	_, peerPort, err := net.SplitHostPort(d.peers)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	text := fmt.Sprintf(`
nodeName: "entry"
zone: "a"
ip: "127.0.0.1"
portRange: [%s, %s]
listen: {front: %q, ready: %q}
limits: {memoryMb: %d, maxFds: %d}
bounds: {graceS: %v, strictRevoke: true, revokeMs: 1600, budgetRatio: 0.2, budgetWindowS: 10, budgetExtra: 2000}
platform: {address: %q}
`, peerPort, peerPort, d.front, d.ready, d.machine.memoryMB, d.machine.maxFDs, graceTime.Seconds(), store)
	file = filepath.Join(ginkgo.GinkgoT().TempDir(), "settings.yaml")
	gomega.Expect(os.WriteFile(file, []byte(text), 0o600)).To(gomega.Succeed())
	return file
}

// sendEndless makes all runners send a part of their answers without end; an empty part ends that.
func (d *deployment) sendEndless(p bergamotfake.EndlessPart) {
	for _, r := range append(append([]*bergamotfake.RelayRunner(nil), d.models...), d.apps...) {
		r.SendEndless(p)
	}
}

// response is what an ordinary caller received.
type response struct {
	status int // 0 for no answer
	body   string
	err    error
}

// send sends an ordinary request on a connection of its own.
func (d *deployment) send(ctx context.Context, path string) response {
	id := fmt.Sprint("ordinary-", d.requests.Add(1))
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.front+path, bytes.NewReader([]byte("prompt of "+id)))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	r.Host = hostName
	r.Header.Set("X-Bergamotspur-Attempt-Id", id)
	r.Header.Set("X-Bergamotspur-Deadline-Ms", "5000")
	r.Header.Set("X-Bergamotspur-Model", "m")
	r.Header.Set("X-Bergamotspur-Token-Count", "100,100")
	r.Header.Set("Authorization", "Token "+ordinaryKey)
	return do(r)
}

// do sends a request on a connection of its own and reads the answer.
func do(r *http.Request) response {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(r)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = answer.Body.Close() }() // the connection is not used again
	body, err := io.ReadAll(answer.Body)
	return response{status: answer.StatusCode, body: string(body), err: err}
}

// waitServed sends ordinary requests until one is served completely.
func (d *deployment) waitServed(ctx context.Context, path string) {
	gomega.Eventually(ctx, func() bool {
		d.entry.expectAlive()
		a := d.send(ctx, path)
		return a.status == http.StatusOK && a.err == nil && a.body != ""
	}).WithPolling(retryInterval).Should(gomega.BeTrue(), d.entry.log.tail)
}

// waitOperable waits until the addresses for metrics, status and readiness have answered. The readiness may say that the
// entry is not ready.
func (d *deployment) waitOperable(ctx context.Context) {
	statuses := map[string][]int{
		"http://" + d.metrics + "/metrics": {http.StatusOK},
		"http://" + d.metrics + "/status":  {http.StatusOK},
		"http://" + d.ready + "/":          {http.StatusOK, http.StatusServiceUnavailable},
	}
	for url, expected := range statuses {
		gomega.Eventually(ctx, func() int {
			d.entry.expectAlive()
			r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			return do(r).status
		}).WithPolling(retryInterval).Should(gomega.BeElementOf(expected), func() string { return url + "\n" + d.entry.log.tail() })
	}
}

// Ports that freeAddresses chooses from. By default the kernel takes the ports of outgoing connections from 32768 on, so that none
// of them takes a port between its choice and the start of the entry.
const (
	firstPort = 20000
	portCount = 10000
)

// freeAddresses returns n different loopback addresses whose ports are free.
func freeAddresses(n int) (addresses []string) {
	for len(addresses) < n {
		l, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(firstPort+rand.IntN(portCount))))
		if err != nil {
			continue // the next port may be free
		}
		defer func() { _ = l.Close() }() // nothing has used it; open until all are chosen
		addresses = append(addresses, l.Addr().String())
	}
	return addresses
}
