package bergamotload_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotload"
	"bergamotspur/core/bergamotmirror"
	"bergamotspur/core/bergamotrate"
	"bergamotspur/core/bergamottest"
)

var start = time.Unix(1000, 0)

// usageSource returns fixed utilizations of runners and counts its calls.
type usageSource struct {
	mu    sync.Mutex
	used  map[string]float64 // share of the memory, by runner
	calls map[string]int
}

func (s *usageSource) Usage(_ context.Context, t bergamotload.Target) (used, total float64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[t.Name()]++
	u, ok := s.used[t.Name()]
	if !ok {
		return 0, 0, errors.New("silent")
	}
	return 1000 * u, 1000, nil
}

type monitorCase struct {
	runners   int
	used      float64 // share of the memory
	silent    bool
	follower  bool // another entry asks the runners
	minAsked  int  // reports in ten seconds, all runners together
	maxAsked  int
	published int // reports passed on
}

var _ = ginkgo.Describe("the monitor of the runners", func() {
	// Guards against reports that cost the runners or the entry more than they are worth: idle runners are asked rarely
	// and say nothing new, and the rate is bounded at 3,100 runners in five data centres.
	bergamottest.Cases(map[string]monitorCase{
		"asks a busy runner often and repeats its report": {runners: 1, used: 0.6, minAsked: 24, maxAsked: 26, published: 13},
		"asks an idle runner rarely and reports it once":  {runners: 1, used: 0.05, minAsked: 8, maxAsked: 10, published: 1},
		"reports nothing about a silent runner":           {runners: 1, silent: true, minAsked: 8, maxAsked: 10},
		"asks nobody while another entry does":            {runners: 1, follower: true},
		"asks 620 idle runners 250 times a second":        {runners: 620, used: 0.05, minAsked: 2480, maxAsked: 3100, published: 620},
	}, func(c monitorCase) {
		clock, published := bergamotclock.NewVirtual(start), 0
		source := &usageSource{used: map[string]float64{}, calls: map[string]int{}}
		var targets []bergamotload.Target
		for n := range c.runners {
			name := fmt.Sprint("r", n)
			targets = append(targets, bergamotload.NewTarget(name, name))
			if !c.silent {
				source.used[name] = c.used
			}
		}
		var mu sync.Mutex
		m := &bergamotload.Monitor{
			Clock: clock, Source: source, StoreTime: func() (time.Duration, bool) { return clock.Now().Sub(start) + time.Hour, true },
			Targets: func() []bergamotload.Target {
				if c.follower {
					return nil
				}
				return targets
			},
			OnReports: func(r []bergamotload.Report) {
				mu.Lock()
				defer mu.Unlock()
				published += len(r)
			},
		}
		for range 100 {
			m.Step(context.Background())
			m.Wait()
			clock.Advance(100 * time.Millisecond)
		}
		asked := 0
		for _, n := range source.calls {
			asked += n
		}
		gomega.Expect(asked).To(gomega.And(gomega.BeNumerically(">=", c.minAsked), gomega.BeNumerically("<=", c.maxAsked)))
		gomega.Expect(published).To(gomega.BeNumerically("~", c.published, c.published/5))
	})
})

// mesh is a number of entries that exchange reports, by name.
type mesh struct {
	mu      sync.Mutex
	entries map[string]*bergamotload.Exchange
	silent  map[string]bool
	asked   map[string]int
	known   map[string]map[string]float64 // memory by entry and runner
	failed  map[string]int                // failures recorded, by the entry that did not answer
}

func (m *mesh) News(ctx context.Context, to bergamotmirror.Peer, q bergamotload.Query) (bergamotload.News, error) {
	m.mu.Lock()
	silent := m.silent[to.Name()]
	m.asked[to.Name()]++
	m.mu.Unlock()
	if silent {
		<-ctx.Done()
		return bergamotload.News{}, ctx.Err()
	}
	q.Wait = 0
	return m.entries[to.Name()].Answer(ctx, q), nil
}

// newMesh returns 118 entries in five data centres with two hubs each.
func newMesh() *mesh {
	m := &mesh{entries: map[string]*bergamotload.Exchange{}, silent: map[string]bool{}, asked: map[string]int{}, known: map[string]map[string]float64{}, failed: map[string]int{}}
	var hubs []bergamotmirror.Hub
	for n := range 10 {
		name := fmt.Sprint("e", n)
		hubs = append(hubs, bergamotmirror.NewHub(bergamotmirror.NewPeer(name, name), fmt.Sprint("c", n%5), n/5, 1))
	}
	for n := range 118 {
		name := fmt.Sprint("e", n)
		peers := &bergamotmirror.Peers{
			Centre: fmt.Sprint("c", n%5), Name: name, Random: func(k int) int { return n % k }, Now: func() time.Duration { return 0 },
		}
		peers.SetHubs(hubs)
		m.known[name] = map[string]float64{}
		m.entries[name] = &bergamotload.Exchange{
			Clock: bergamotclock.Real{}, Network: m, Peers: peers, Board: bergamotload.NewBoard(), Limits: &bergamotrate.Registry{Clock: bergamotclock.Real{}},
			OnFailure: func(peer string, _ error) {
				m.mu.Lock()
				defer m.mu.Unlock()
				m.failed[peer]++
			},
			OnReports: func(reports []bergamotload.Report) {
				m.mu.Lock()
				defer m.mu.Unlock()
				for _, r := range reports {
					m.known[name][r.Runner()] = r.Used()
				}
			},
		}
	}
	return m
}

// step lets the leads, the other hubs and then all other entries send their queries; those to silent entries end with ctx.
func (m *mesh) step(ctx context.Context) {
	for n := range 118 {
		e := m.entries[fmt.Sprint("e", n)]
		e.Step(ctx)
		if len(m.silent) == 0 {
			e.Wait()
		}
	}
}

// put posts a report that an entry has got from a runner itself.
func (m *mesh) put(entry, runner string, used float64, at time.Duration) {
	m.entries[entry].Board.Put([]bergamotload.Report{bergamotload.NewReport(runner, used, at)}, true)
}

var _ = ginkgo.Describe("the exchange of reports", func() {
	// Guards against 118 entries that each learn by a rejected request that a runner is full (olilaud-large trouble-3, 28 to
	// 34 s), and against queries to one entry that grow with their number.
	ginkgo.It("brings the report of a runner to all entries of all data centres", func() {
		m := newMesh()
		for c := range 5 {
			m.put(fmt.Sprint("e", c), fmt.Sprint("r", c), 700, time.Second)
		}
		m.step(context.Background())
		for name, reports := range m.known {
			gomega.Expect(len(reports)).To(gomega.BeNumerically(">=", 4), name) // leads need no report of their own runners
		}
		for name, n := range m.asked {
			gomega.Expect(n).To(gomega.BeNumerically("<=", 9+12), name) // other hubs and half of the data centre
		}
	})

	// Guards against entries that go on at the old pace because the limit was named to another one.
	ginkgo.It("brings the limit of a runner, and its end, to all entries of all data centres", func() {
		m := newMesh()
		limits := func(name string) *bergamotrate.Registry { return m.entries[name].Limits.(*bergamotrate.Registry) }
		for _, l := range []bergamotrate.Limit{bergamotrate.NewLimit("r@1", 1.5, time.Second), bergamotrate.NewEnd("r@1", 2*time.Second)} {
			limits("e3").Learn([]bergamotrate.Limit{l}, true)
			m.step(context.Background())
			for name := range m.entries {
				rate, limited := limits(name).Rate("r@1")
				gomega.Expect(limited).To(gomega.Equal(!l.Ended()), name)
				gomega.Expect(rate).To(gomega.Equal(l.Rate()), name)
			}
		}
	})

	// Guards against a report that replaces a newer one because it took a longer way.
	ginkgo.It("keeps the newest report of a runner", func() {
		m := newMesh()
		m.put("e0", "r", 700, 2*time.Second)
		m.step(context.Background())
		m.put("e1", "r", 100, time.Second)
		m.step(context.Background())
		gomega.Expect(m.known["e117"]["r"]).To(gomega.Equal(700.0))
	})

	// Guards against reports of all data centres that wait for the answer of an entry that is frozen.
	ginkgo.It("goes on with the other entries while one is silent", func() {
		m := newMesh()
		m.silent["e0"] = true
		m.put("e1", "r", 700, time.Second)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		gomega.Eventually(func() float64 {
			m.step(ctx)
			m.mu.Lock()
			defer m.mu.Unlock()
			return m.known["e2"]["r"]
		}).Should(gomega.Equal(700.0))
		cancel()
		for _, e := range m.entries {
			e.Wait()
		}
		gomega.Expect(m.failed["e0"]).To(gomega.BeNumerically(">", 0))
	})
})
