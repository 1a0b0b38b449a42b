package bergamotsoak

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamottest"
)

// Commits of the builds that have to run beside this one: the last two landings before it.
const (
	lastLanding   = "bdd80fe"
	landingBefore = "1b2410d"
)

const (
	// limitOfRunner is the number of requests a second that a runner of the plain service names in the specs of upgrades.
	limitOfRunner = 8.0
	// minServed is the share of the requests to entries that are not being replaced that has to be served.
	minServed = 0.97
	// upgradePause is the time between two replacements.
	upgradePause = 1500 * time.Millisecond
)

// buildOf returns the file of the program as of a commit, which it builds from the history of the repository. Without that the spec is skipped.
func buildOf(commit string) string {
	built.Lock()
	defer built.Unlock()
	if file, ok := built.files[commit]; ok {
		return file
	}
	root, err := exec.Command("git", "rev-parse", "--show-toplevel").Output()
	if err != nil || exec.Command("git", "cat-file", "-e", commit+"^{commit}").Run() != nil {
		ginkgo.Skip("the history of the repository lacks " + commit)
	}
	dir, err := os.MkdirTemp("", "bergamot-build")
	must(err)
	archive := filepath.Join(dir, "source.tar")
	for _, step := range [][]string{
		{strings.TrimSpace(string(root)), "git", "archive", "--output", archive, commit},
		{dir, "tar", "-xf", archive},
		{dir, "go", "build", "-o", "program", "."},
	} {
		cmd := exec.Command(step[1], step[2:]...)
		cmd.Dir = step[0]
		out, err := cmd.CombinedOutput()
		gomega.Expect(err).NotTo(gomega.HaveOccurred(), string(out))
	}
	built.files[commit] = filepath.Join(dir, "program")
	return built.files[commit]
}

// built holds the builds of other commits for all specs, until the suite ends.
var built = struct {
	sync.Mutex
	files map[string]string
}{files: map[string]string{}}

var _ = ginkgo.AfterSuite(func() {
	for _, file := range built.files {
		must(os.RemoveAll(filepath.Dir(file)))
	}
})

// rank orders entries: those that read the store for others of their data centre first, the lead before the second hub.
func (e *entry) rank() int {
	text := e.log.String()
	text = text[max(strings.LastIndex(text, "entry: started"), 0):]
	switch {
	case strings.Contains(text, `"hub":true,"slot":0`):
		return 0
	case strings.Contains(text, `"hub":true,"slot":1`):
		return 1
	default:
		return 2
	}
}

// upgrade replaces the entries by those of another build, one after the other, beside changes of the configuration and the runners. It
// returns the times in which each entry was replaced.
func (h *harness) upgrade(program string, hubsFirst bool, change func(step int)) (replaced map[*entry][2]time.Time) {
	order := slices.Clone(h.entries)
	slices.SortStableFunc(order, func(a, b *entry) int {
		if hubsFirst {
			return cmp.Compare(a.rank(), b.rank())
		}
		return cmp.Compare(b.rank(), a.rank())
	})
	replaced = map[*entry][2]time.Time{}
	for step, e := range order {
		change(step)
		begin := time.Now()
		e.restarting.Lock()
		e.signal(syscall.SIGTERM)
		e.wait()
		e.program = program
		e.run()
		e.restarting.Unlock()
		gomega.Eventually(e.knowsOthers).WithTimeout(maxRecoveryTime).Should(gomega.BeTrue(), e.log.String)
		replaced[e] = [2]time.Time{begin, time.Now()}
		<-time.After(upgradePause)
	}
	return replaced
}

type upgradeCase struct {
	from, to  string // commits, empty for this build
	hubsFirst bool
	inCI      bool // the others run where the soak has more seeds than in CI
}

var upgradeCases = map[string]upgradeCase{
	"upgrade from the last landing, the hubs first":       {from: lastLanding, hubsFirst: true, inCI: true},
	"upgrade from the last landing, the hubs last":        {from: lastLanding},
	"go back to the last landing, the hubs first":         {to: lastLanding, hubsFirst: true},
	"go back to the last landing, the hubs last":          {to: lastLanding, inCI: true},
	"upgrade from the landing before that, the hubs last": {from: landingBefore},
}

// upgrades returns the cases to run.
func upgrades() map[string]upgradeCase {
	out := maps.Clone(upgradeCases)
	if os.Getenv(seedsEnv) == "" {
		maps.DeleteFunc(out, func(_ string, c upgradeCase) bool { return !c.inCI })
	}
	return out
}

var _ = ginkgo.Describe("two builds side by side", func() {
	// Guards against a message, a row of the store or an order that the other build cannot read or takes for something else: callers that are
	// refused or cut off during an upgrade, entries that do not take over or follow, and a runner that gets more than it named from entries that
	// know of its limit.
	bergamottest.Cases(upgrades(), func(c upgradeCase) {
		var programs [2]string
		for i, commit := range []string{c.from, c.to} {
			if commit != "" {
				programs[i] = buildOf(commit)
			}
		}
		h := newHarnessOf(ginkgo.GinkgoT().TempDir(), programs[0], "a", "a", "a", "b", "b")
		defer h.close()
		s := &faultScript{harness: h}
		s.callerKey.Store("key-0")
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var active sync.WaitGroup
		active.Go(func() { h.sendHeartbeats(ctx, func(*target) bool { return false }) })
		for _, e := range h.entries {
			gomega.Eventually(func() bool { return s.isServing(e) }).WithTimeout(maxRecoveryTime).Should(gomega.BeTrue(), e.log.String)
			gomega.Eventually(e.knowsOthers).WithTimeout(maxRecoveryTime).Should(gomega.BeTrue(), e.log.String)
		}
		limited := h.targets[len(h.targets)-1].runner
		for n := range callers {
			active.Go(func() { h.sendRequests(ctx, n, func() string { return s.callerKey.Load().(string) }) })
		}
		replaced := h.upgrade(programs[1], c.hubsFirst, func(step int) {
			s.latestKey++
			old, next := s.callerKey.Load().(string), fmt.Sprint("key-", s.latestKey)
			h.writeConfig(old, next)
			s.callerKey.Store(next)
			if step == 1 {
				limited.SetRateLimit(fmt.Sprint(limitOfRunner))
			}
			if step == 2 {
				h.targets[0].runner.Restart() // it loses its layers, which the holder of that moment places again
			}
		})
		from := time.Now()
		<-time.After(2 * time.Second)
		if c.to == "" {
			gomega.Expect(limited.RunsIn(from, time.Now())).To(gomega.BeNumerically("<=", limitOfRunner*2.5+2))
		}
		h.writeConfig(fmt.Sprint("key-", s.latestKey))
		for _, e := range h.entries {
			gomega.Eventually(func() bool { return s.isServing(e) }).WithTimeout(maxRecoveryTime).Should(gomega.BeTrue(), e.log.String)
		}
		cancel()
		active.Wait()
		gomega.Expect(h.violations()).To(gomega.BeEmpty())
		sent, served := 0, 0
		for _, v := range h.results.all() {
			if r := replaced[v.entry]; v.ended.After(r[0]) && v.sent.Before(r[1]) || strings.HasPrefix(v.id, "after-") {
				continue
			}
			sent++
			if v.status == http.StatusOK && v.complete {
				served++
			}
		}
		ginkgo.GinkgoWriter.Printf("%d of %d served\n", served, sent)
		gomega.Expect(float64(served)).To(gomega.BeNumerically(">=", minServed*float64(sent)))
	})
})
