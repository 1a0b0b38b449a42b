package bergamotsoak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
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

// Guards against bookings that run twice, refusals that say "not run" of a request that has run, answers that are not
// the caller's own or not whole, keys that outlive their revocation, and entries that do not recover.
var _ = ginkgo.Describe("the promises under overlapping faults", func() {
	bergamottest.Cases(seeds(), soak)
})

const (
	soakTime    = 6 * time.Second  // of faults in one run
	recoverTime = 15 * time.Second // within which all kinds are served again
	callers     = 4
)

// script draws faults from a seed and lets them overlap.
type script struct {
	world   *world
	random  *rand.Rand
	pending sync.WaitGroup
	leaving sync.Map // runners that leave
	key     atomic.Value
	keys    int
}

// during starts a fault and ends it after a time.
func (s *script) during(begin func(), end func()) {
	d := time.Duration(200+s.random.IntN(2200)) * time.Millisecond
	begin()
	s.pending.Add(1)
	go func() {
		defer s.pending.Done()
		<-time.After(d)
		end()
	}()
}

// faults are the faults by name.
func (s *script) faults() map[string]func() {
	w, r := s.world, s.random
	entry := func() *entry { return w.entries[r.IntN(len(w.entries))] }
	target := func() *target { return w.targets[r.IntN(len(w.targets))] }
	link := func(p *bergamotfake.Proxy) {
		state := []bergamotfake.Link{bergamotfake.LinkReset, bergamotfake.LinkSilent, bergamotfake.LinkMute, bergamotfake.LinkSlow}[r.IntN(4)]
		s.during(func() { p.Set(state) }, func() { p.Set(bergamotfake.LinkOpen) })
	}
	restart := func(signal syscall.Signal) func() {
		return func() {
			e := entry()
			s.pending.Add(1)
			go func() {
				defer s.pending.Done()
				e.stop(signal)
			}()
		}
	}
	return map[string]func(){
		"entry killed":  restart(syscall.SIGKILL),
		"entry stopped": restart(syscall.SIGTERM),
		"entry asked to reload": func() {
			entry().signal(syscall.SIGHUP)
		},
		"entry paused": func() {
			e := entry()
			s.during(func() { e.signal(syscall.SIGSTOP) }, func() { e.signal(syscall.SIGCONT) })
		},
		"entry loses the store": func() { link(entry().store) },
		"runner loses its link": func() { link(target().proxy) },
		"store down": func() {
			s.during(func() { w.store.Faults.SetDown(true) }, func() { w.store.Faults.SetDown(false) })
		},
		"store silent": func() {
			s.during(func() { w.store.Faults.SetSilent(true) }, func() { w.store.Faults.SetSilent(false) })
		},
		"store late": func() {
			s.during(func() { w.store.SetLate(900 * time.Millisecond) }, func() { w.store.SetLate(0) })
		},
		"store loses replies": func() { w.store.Faults.LoseReplies("/rows-tx", 3) },
		"store forgets":       func() { w.store.DropHistory() },
		"runner rejects":      func() { target().runner.Reject(1 + r.IntN(5)) },
		"runner breaks off":   func() { target().runner.Break(1+r.IntN(5), r.IntN(5)) },
		"runner starts anew":  func() { target().runner.Restart() },
		"runner mixes answers": func() {
			t := target()
			s.during(func() { t.runner.SetWrongID(true) }, func() { t.runner.SetWrongID(false) })
		},
		"runner leaves": func() {
			t := target()
			s.during(func() {
				s.leaving.Store(t, true)
				w.register(t, "draining")
			}, func() {
				w.store.Remove("servers", t.runner.ID)
				t.runner.Restart()
				s.leaving.Delete(t)
			})
		},
		"key replaced": func() {
			old := s.key.Load().(string)
			s.keys++
			next := fmt.Sprint("key-", s.keys)
			w.configure(next)
			w.revoked.Store(old, time.Now())
			// Callers go on using the old key for a while.
			if r.IntN(2) == 0 {
				s.key.Store(next)
				return
			}
			s.during(func() {}, func() { s.key.Store(next) })
		},
		"configurations in series": func() {
			for range 5 {
				w.configure(fmt.Sprint("key-", s.keys))
			}
		},
	}
}

// play lets faults overlap for a while and returns their names in order.
func (s *script) play() (steps []string) {
	faults := s.faults()
	names := slices.Sorted(maps.Keys(faults))
	for end := time.Now().Add(soakTime); time.Now().Before(end); {
		name := names[s.random.IntN(len(names))]
		steps = append(steps, name)
		faults[name]()
		<-time.After(time.Duration(60+s.random.IntN(340)) * time.Millisecond)
	}
	s.pending.Wait()
	return steps
}

// served tells whether an entry serves all kinds of requests.
func (s *script) served(e *entry) bool {
	for name := range kinds {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		id := fmt.Sprint("after-", name, "-", time.Now().UnixNano())
		v := send(context.Background(), client, e.front, id, name, fmt.Sprint("key-", s.keys))
		s.world.results.add(v)
		if v.status != http.StatusOK || !v.whole {
			return false
		}
	}
	return true
}

// soak plays one seed and returns what was broken.
func soak(seed uint64) {
	dir := ginkgo.GinkgoT().TempDir()
	w := newWorld(dir)
	defer w.end()
	s := &script{world: w, random: rand.New(rand.NewPCG(seed, 7))}
	s.key.Store("key-0")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var active sync.WaitGroup
	active.Add(1)
	go func() {
		defer active.Done()
		w.beat(ctx, func(t *target) bool { _, ok := s.leaving.Load(t); return ok })
	}()
	for _, e := range w.entries {
		gomega.Eventually(func() bool { return s.served(e) }).WithTimeout(recoverTime).Should(gomega.BeTrue(), e.log.String())
	}
	calling, stop := context.WithCancel(ctx)
	defer stop()
	for n := range callers {
		active.Add(1)
		go func() {
			defer active.Done()
			w.call(calling, n, func() string { return s.key.Load().(string) })
		}()
	}
	steps := strings.Join(s.play(), ", ")
	stop()
	for _, e := range w.entries {
		gomega.Eventually(func() bool { return s.served(e) }).WithTimeout(recoverTime).
			Should(gomega.BeTrue(), "seed %d: %s does not serve again after %s\n%s", seed, e.name, steps, tail(e.log.String()))
	}
	cancel()
	active.Wait()
	served := 0
	for _, v := range w.results.all() {
		if v.status == http.StatusOK && v.whole {
			served++
		}
	}
	ginkgo.GinkgoWriter.Printf("seed %d: %d of %d served; %s\n", seed, served, len(w.results.all()), steps)
	gomega.Expect(w.broken()).To(gomega.BeEmpty(), "seed %d: %s", seed, steps)
}

func tail(s string) string { return s[max(len(s)-4000, 0):] }

// seeds returns the fixed seeds and as many fresh ones as BERGAMOTSPUR_SOAK_FRESH says.
func seeds() map[string]uint64 {
	out := map[string]uint64{}
	count := 2
	if n, err := strconv.Atoi(os.Getenv("BERGAMOTSPUR_SOAK_SEEDS")); err == nil {
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
