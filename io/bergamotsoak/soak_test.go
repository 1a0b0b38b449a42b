package bergamotsoak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamottest"
	"bergamotspur/io/bergamotfake"
)

// Guards against a runner that gets more than it names, bookings that run twice, refusals marked as not run for requests that did run, answers that are truncated
// or belong to another request, keys that work after their revocation, entries that do not recover, and requests that an entry
// which is cut off from the runners does not serve while another one could help.
var _ = ginkgo.Describe("the guarantees under overlapping faults", func() {
	bergamottest.Cases(seeds(), soak)
})

const (
	faultTime       = 6 * time.Second  // how long faults are injected in one run
	maxRecoveryTime = 15 * time.Second // limit for serving all kinds of requests after the faults
	callers         = 4
	cutsAlone       = 3                       // cuts after the other faults
	cutTime         = 1200 * time.Millisecond // of each
	// cutLimit is the number of requests a second that a runner names meanwhile, and limitLearned how long entries have to learn it.
	cutLimit     = 5.0
	limitLearned = time.Second
)

// faultScript injects overlapping faults drawn from a seed.
type faultScript struct {
	harness   *harness
	random    *rand.Rand
	pending   sync.WaitGroup // faults that have not ended
	leaving   sync.Map       // runners that are leaving, keyed by *target
	callerKey atomic.Value   // API key that callers use
	latestKey int            // number of the key in the latest configuration
}

// applyTemporarily calls begin at once and end after a random time, without waiting for it.
func (s *faultScript) applyTemporarily(begin func(), end func()) {
	d := time.Duration(200+s.random.IntN(2200)) * time.Millisecond
	begin()
	s.pending.Add(1)
	go func() {
		defer s.pending.Done()
		<-time.After(d)
		end()
	}()
}

// faults returns the faults by name. The order in which run draws them from a seed depends on the sorted names, so a
// renamed, added or removed fault changes the sequence of every seed.
func (s *faultScript) faults() map[string]func() {
	h, r := s.harness, s.random
	entry := func() *entry { return h.entries[r.IntN(len(h.entries))] }
	target := func() *target { return h.targets[r.IntN(len(h.targets))] }
	link := func(p *bergamotfake.Proxy) {
		state := []bergamotfake.LinkState{bergamotfake.LinkReset, bergamotfake.LinkSilent, bergamotfake.LinkNoReplies, bergamotfake.LinkSlow}[r.IntN(4)]
		s.applyTemporarily(func() { p.SetLink(state) }, func() { p.SetLink(bergamotfake.LinkOpen) })
	}
	cutOff := func(n int, only ...string) {
		kind, entries := cutKinds[r.IntN(len(cutKinds))], s.someEntries(n)
		s.applyTemporarily(func() { setCut(entries, kind, only...) }, func() { setCut(entries, bergamotfake.CutNone) })
	}
	restartWith := func(signal syscall.Signal) func() {
		return func() {
			e := entry()
			s.pending.Add(1)
			go func() {
				defer s.pending.Done()
				e.restart(signal)
			}()
		}
	}
	return map[string]func(){
		"entry killed":  restartWith(syscall.SIGKILL),
		"entry stopped": restartWith(syscall.SIGTERM),
		"entry asked to reload": func() {
			entry().signal(syscall.SIGHUP)
		},
		"entry paused": func() {
			e := entry()
			s.applyTemporarily(func() { e.signal(syscall.SIGSTOP) }, func() { e.signal(syscall.SIGCONT) })
		},
		"entry loses the store":        func() { link(entry().store) },
		"entry cut from the runners":   func() { cutOff(1) },
		"entry cut from a runner":      func() { cutOff(1, target().proxy.Address()) },
		"entries cut from the runners": func() { cutOff(2 + r.IntN(len(h.entries)-1)) },
		"runner loses its link":        func() { link(target().proxy) },
		"store down": func() {
			s.applyTemporarily(func() { h.store.Faults.SetDown(true) }, func() { h.store.Faults.SetDown(false) })
		},
		"store silent": func() {
			s.applyTemporarily(func() { h.store.Faults.SetSilent(true) }, func() { h.store.Faults.SetSilent(false) })
		},
		"store late": func() {
			s.applyTemporarily(func() { h.store.SetWriteDelay(900 * time.Millisecond) }, func() { h.store.SetWriteDelay(0) })
		},
		"store loses replies": func() { h.store.Faults.LoseReplies("/rows-tx", 3) },
		"store forgets":       func() { h.store.DropHistory() },
		"runner rejects":      func() { target().runner.Reject(1 + r.IntN(5)) },
		"runner breaks off":   func() { target().runner.BreakAnswers(1+r.IntN(5), r.IntN(5)) },
		"runner starts anew":  func() { target().runner.Restart() },
		"runner mixes answers": func() {
			t := target()
			s.applyTemporarily(func() { t.runner.SetWrongID(true) }, func() { t.runner.SetWrongID(false) })
		},
		"runner leaves": func() {
			t := target()
			s.applyTemporarily(func() {
				s.leaving.Store(t, true)
				h.register(t, "draining")
			}, func() {
				h.store.Remove("servers", t.runner.ID)
				t.runner.Restart()
				s.leaving.Delete(t)
			})
		},
		"key replaced": func() {
			old := s.callerKey.Load().(string)
			s.latestKey++
			next := fmt.Sprint("key-", s.latestKey)
			h.writeConfig(next)
			h.revoked.Store(old, time.Now())
			// Half of the time callers keep using the old key for a while.
			if r.IntN(2) == 0 {
				s.callerKey.Store(next)
				return
			}
			s.applyTemporarily(func() {}, func() { s.callerKey.Store(next) })
		},
		"configurations in series": func() {
			for range 5 {
				h.writeConfig(fmt.Sprint("key-", s.latestKey))
			}
		},
	}
}

var cutKinds = []bergamotfake.Cut{bergamotfake.CutHang, bergamotfake.CutReset, bergamotfake.CutRefuse}

// setCut cuts entries off from the runners at some addresses, from all if there are none.
func setCut(entries []*entry, kind bergamotfake.Cut, only ...string) {
	for _, e := range entries {
		e.gate.SetCut(kind, only...)
	}
}

// someEntries returns n entries drawn from the seed.
func (s *faultScript) someEntries(n int) (out []*entry) {
	for _, i := range s.random.Perm(len(s.harness.entries))[:n] {
		out = append(out, s.harness.entries[i])
	}
	return out
}

// runCuts ends what is left of the faults at the runners and the store, and cuts some entries off while nothing else fails.
func (s *faultScript) runCuts() (steps []string) {
	h := s.harness
	h.store.Faults.LoseReplies("/rows-tx", 0)
	s.callerKey.Store(fmt.Sprint("key-", s.latestKey))
	for _, t := range h.targets {
		t.runner.Reject(0)
		t.runner.BreakAnswers(0, 0)
	}
	for _, e := range h.entries {
		gomega.Eventually(func() bool { return s.isServing(e) }).WithTimeout(maxRecoveryTime).
			Should(gomega.BeTrue(), func() string { return fmt.Sprintf("%s does not serve before the cuts\n%s", e.name, e.log) })
		gomega.Eventually(e.knowsOthers).WithTimeout(maxRecoveryTime).
			Should(gomega.BeTrue(), func() string { return fmt.Sprintf("%s does not learn of the other entries\n%s", e.name, e.log) })
	}
	limited := h.targets[len(h.targets)-1].runner
	limited.SetRateLimit(fmt.Sprint(cutLimit))
	defer limited.SetRateLimit("")
	h.limitFrom = time.Now().Add(limitLearned)
	for range cutsAlone {
		c := cut{kind: cutKinds[s.random.IntN(len(cutKinds))], entries: s.someEntries(1 + s.random.IntN(len(h.entries)-1))}
		setCut(c.entries, c.kind)
		c.from = time.Now()
		<-time.After(cutTime)
		c.to = time.Now()
		setCut(c.entries, bergamotfake.CutNone)
		h.cuts = append(h.cuts, c)
		steps = append(steps, fmt.Sprint(len(c.entries), " entries cut off by ", c.kind))
		<-time.After(cutTime)
	}
	h.limitTo = time.Now()
	return steps
}

// run injects faults for faultTime, waits until all have ended and returns their names in order.
func (s *faultScript) run() (steps []string) {
	faults := s.faults()
	names := slices.Sorted(maps.Keys(faults))
	for end := time.Now().Add(faultTime); time.Now().Before(end); {
		name := names[s.random.IntN(len(names))]
		steps = append(steps, name)
		faults[name]()
		<-time.After(time.Duration(60+s.random.IntN(340)) * time.Millisecond)
	}
	s.pending.Wait()
	return steps
}

// isServing reports whether an entry serves all kinds of requests.
func (s *faultScript) isServing(e *entry) bool {
	for _, name := range s.harness.kinds {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		id := fmt.Sprint("after-", name, "-", time.Now().UnixNano())
		v := send(context.Background(), client, e, id, name, fmt.Sprint("key-", s.latestKey))
		s.harness.results.add(v)
		if v.status != http.StatusOK || !v.complete {
			return false
		}
	}
	return true
}

// soak runs the faults of one seed and fails if a guarantee was broken or an entry does not recover.
func soak(seed uint64) {
	dir := ginkgo.GinkgoT().TempDir()
	h := newHarness(dir)
	defer h.close()
	ginkgo.DeferCleanup(h.keepLogs, seed)
	s := &faultScript{harness: h, random: rand.New(rand.NewPCG(seed, 7))}
	s.callerKey.Store("key-0")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var active sync.WaitGroup
	active.Add(1)
	go func() {
		defer active.Done()
		h.sendHeartbeats(ctx, func(t *target) bool { _, ok := s.leaving.Load(t); return ok })
	}()
	for _, e := range h.entries {
		gomega.Eventually(func() bool { return s.isServing(e) }).WithTimeout(maxRecoveryTime).Should(gomega.BeTrue(), e.log.String)
	}
	calling, stop := context.WithCancel(ctx)
	defer stop()
	for n := range callers {
		active.Add(1)
		go func() {
			defer active.Done()
			h.sendRequests(calling, n, func() string { return s.callerKey.Load().(string) })
		}()
	}
	steps := strings.Join(append(s.run(), s.runCuts()...), ", ")
	stop()
	for _, e := range h.entries {
		gomega.Eventually(func() bool { return s.isServing(e) }).WithTimeout(maxRecoveryTime).
			Should(gomega.BeTrue(), func() string {
				return fmt.Sprintf("seed %d: %s does not serve again after %s\n%s", seed, e.name, steps, e.log)
			})
	}
	cancel()
	active.Wait()
	served := 0
	for _, v := range h.results.all() {
		if v.status == http.StatusOK && v.complete {
			served++
		}
	}
	ginkgo.GinkgoWriter.Printf("seed %d: %d of %d served; %s\n", seed, served, len(h.results.all()), steps)
	gomega.Expect(h.violations()).To(gomega.BeEmpty(), "seed %d: %s", seed, steps)
}

// keepLogs writes the logs of the entries into the folder BERGAMOTSPUR_SOAK_LOGS, if there is one, after a seed that failed.
func (h *harness) keepLogs(seed uint64) {
	folder := os.Getenv("BERGAMOTSPUR_SOAK_LOGS")
	if folder == "" || !ginkgo.CurrentSpecReport().Failed() {
		return
	}
	for _, e := range h.entries {
		must(os.WriteFile(filepath.Join(folder, fmt.Sprintf("%d-%s.log", seed, e.name)), []byte(e.log.String()), 0o600))
	}
}

// seedsEnv is the environment variable with the number of seeds.
const seedsEnv = "BERGAMOTSPUR_SOAK_SEEDS"

// seeds returns the seeds from 1 to BERGAMOTSPUR_SOAK_SEEDS (2 by default) and BERGAMOTSPUR_SOAK_FRESH random ones (none
// by default).
func seeds() map[string]uint64 {
	out := map[string]uint64{}
	count := 2
	if n, err := strconv.Atoi(os.Getenv(seedsEnv)); err == nil {
		count = n
	}
	for n := range count {
		out[fmt.Sprintf("of seed %03d", n+1)] = uint64(n + 1)
	}
	fresh, err := strconv.Atoi(os.Getenv("BERGAMOTSPUR_SOAK_FRESH"))
	for n := 0; err == nil && n < fresh; n++ {
		seed := rand.Uint64()
		out[fmt.Sprint("of fresh seed ", seed)] = seed
	}
	return out
}
