package bergamotentry_test

import (
	"context"
	"net/http"
	"net/http/httputil"
	"net/url"
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamottest"
	"bergamotspur/io/bergamotfake"
	"bergamotspur/io/bergamotlist"
)

const (
	careOne = "[model care]\nlayers = 4\n[pipeline advice]\nmodel = care\n"
	careTwo = "[model care]\nlayers = 4\nversion = 2\n[pipeline advice]\nmodel = care\n"
)

// runner is an engine that holds nothing at first.
func runner(fenced bool) *bergamotfake.Engine {
	e := bergamotfake.NewEngine()
	e.Fenced = fenced
	gomega.Expect(e.Start("127.0.0.1:0")).To(gomega.Succeed())
	ginkgo.DeferCleanup(e.Kill)
	return e
}

func (n *node) putRunner(name, address string, fenced bool) {
	n.put(bergamotlist.InstanceMessage{Name: name, Address: address, Role: "runner", Memory: 8, Fenced: fenced})
}

// holds returns the version of the model when an engine holds all its layers and nothing else, empty otherwise.
func holds(e *bergamotfake.Engine) string {
	h := e.Holdings()
	if len(h) != 1 || h[0].Model != "care" || h[0].From != 0 || h[0].To != 4 {
		return ""
	}
	return h[0].Version
}

// loaded returns the time of the last load report of a runner.
func (n *node) loaded(name string) time.Time {
	i, _ := n.View().Fleet().Instance(name)
	return i.Load().ReceivedAt()
}

// relay returns another address of an engine, with faults of its own for orders.
func relay(e *bergamotfake.Engine) (address string, faults *bergamotfake.Faults) {
	faults = &bergamotfake.Faults{}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: e.Address()})
	mux := http.NewServeMux()
	mux.Handle("/", proxy)
	mux.Handle("/order", faults.Wrap(proxy))
	server, err := bergamotfake.Listen("127.0.0.1:0", mux)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(server.Kill)
	return server.Address(), faults
}

var _ = ginkgo.Describe("placement", func() {
	var m *mesh
	ginkgo.BeforeEach(func(ctx context.Context) {
		m = newMesh()
		m.rollWith(ctx, 1, careOne)
	})

	// Guards against runners that nobody brings to the bundle after the holder of the lease died, and against a new
	// runner that gets no layers.
	ginkgo.It("is taken over when the holder of the lease dies, and adopts a new runner", func() {
		first, second := runner(true), runner(true)
		a := m.start("a")[0]
		a.putRunner("r1", first.Address(), true)
		eventually(holds).WithArguments(first).Should(gomega.Equal("1"))
		b := m.start("b")[0]
		// Without the table it cannot give the lease back.
		a.table.SetDown(true)
		a.stop()
		b.putRunner("r2", second.Address(), true)
		eventually(holds).WithArguments(second).Should(gomega.Equal("1"))
		gomega.Expect(second.Orders()[0]).To(gomega.BeNumerically(">", first.Orders()[0]))
	})

	// Guards against a holder that was paused and whose order arrives after another one took over: an engine that
	// checks the number rejects it, and what one that does not accepts is repaired.
	bergamottest.Cases(map[string]bool{
		"keeps a late order of a paused holder from a runner with fencing": true,
		"repairs a late order of a paused holder at a runner without":      false,
	}, func(fenced bool) {
		ctx := context.Background()
		e := runner(fenced)
		slow, held := relay(e)
		a := m.start("a")[0]
		a.putRunner("r", slow, fenced)
		eventually(a.usable).WithArguments("r").Should(gomega.BeTrue())
		eventually(holds).WithArguments(e).Should(gomega.Equal("1"))
		m.rollWith(ctx, 2, careTwo)
		eventually(holds).WithArguments(e).Should(gomega.Equal("2"))
		// The next order of this entry stays on its way.
		held.SetSilent(true)
		calls := held.Calls("/order")
		m.rollWith(ctx, 3, careOne)
		eventually(held.Calls).WithArguments("/order").Should(gomega.BeNumerically(">", calls))
		a.table.SetSilent(true)

		b := m.start("b")[0]
		m.part(a, true)
		b.putRunner("r", e.Address(), fenced)
		number := e.Orders()[0]
		m.rollWith(ctx, 4, "[model care]\nlayers = 4\nversion = 3\n[pipeline advice]\nmodel = care\n")
		eventually(holds).WithArguments(e).Should(gomega.Equal("3"))
		// An order that no report confirmed is not repeated for two minutes; two reports leave time for a pass between.
		for range 2 {
			at := b.loaded("r")
			eventually(func() bool { return b.loaded("r").After(at) }).Should(gomega.BeTrue())
		}
		before, failures := len(e.Orders()), a.Metrics().Value("control.placement.errors")
		held.SetSilent(false)
		if fenced {
			eventually(a.Metrics().Value).WithArguments("control.placement.errors").Should(gomega.BeNumerically(">", failures))
		} else {
			eventually(func() bool { return slices.Contains(e.Orders()[before:], number) }).Should(gomega.BeTrue())
			eventually(holds).WithArguments(e).Should(gomega.Equal("3"))
		}
		gomega.Expect(slices.Contains(e.Orders()[before:], number)).To(gomega.Equal(!fenced))
		gomega.Expect(holds(e)).To(gomega.Equal("3"))
		// The paused entry wakes up, still cut off from the table: its grant has ended, so that it gives no order.
		count := a.Metrics().Value("placement.orders")
		m.rollWith(ctx, 5, careTwo)
		eventually(holds).WithArguments(e).Should(gomega.Equal("2"))
		gomega.Expect(a.Metrics().Value("placement.orders")).To(gomega.Equal(count))
	})

	// Guards against a shortage of runners that operators cannot see.
	ginkgo.It("reports a model that no runner can hold, until one can", func() {
		a := m.start("a")[0]
		eventually(a.View().ShortOfRunners).Should(gomega.BeEmpty())
		eventually(func() []string { return a.View().ShortOfRunners() }).Should(gomega.Equal([]string{"care"}))
		eventually(a.Metrics().Value).WithArguments("placement.short").Should(gomega.BeNumerically(">", 0))
		e := runner(true)
		a.putRunner("r", e.Address(), true)
		eventually(func() []string { return a.View().ShortOfRunners() }).Should(gomega.BeEmpty())
		eventually(holds).WithArguments(e).Should(gomega.Equal("1"))
	})

	// Guards against loads beyond the rate of the weight store.
	ginkgo.It("loads no more than the weight store grants", func() {
		m.platform.Weights.SetRate(1e-3)
		first, second := runner(true), runner(true)
		a := m.start("a")[0]
		a.putRunner("r1", first.Address(), true)
		eventually(holds).WithArguments(first).Should(gomega.Equal("1"))
		a.list.Remove("r1")
		a.putRunner("r2", second.Address(), true)
		eventually(a.Metrics().Value).WithArguments("placement.waits").Should(gomega.BeNumerically(">", 2))
		gomega.Expect(second.Orders()).To(gomega.BeEmpty())
		m.platform.Weights.SetRate(0)
		eventually(holds).WithArguments(second).Should(gomega.Equal("1"))
	})
})
