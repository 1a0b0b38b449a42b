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
	careVersion1 = "[model care]\nlayers = 4\n[pipeline advice]\nmodel = care\n"
	careVersion2 = "[model care]\nlayers = 4\nversion = 2\n[pipeline advice]\nmodel = care\n"
)

// startRunner runs an engine that holds no layers at first.
func startRunner(fenced bool) *bergamotfake.Engine {
	e := bergamotfake.NewEngine()
	e.Fenced = fenced
	gomega.Expect(e.Start("127.0.0.1:0")).To(gomega.Succeed())
	ginkgo.DeferCleanup(e.Kill)
	return e
}

func (n *node) putRunner(name, address string, fenced bool) {
	n.put(bergamotlist.InstanceMessage{Name: name, Address: address, Role: "runner", MaxLayers: 8, SupportsFencing: fenced})
}

// heldVersion returns the version of the model when an engine holds all its layers and nothing else, empty otherwise.
func heldVersion(e *bergamotfake.Engine) string {
	h := e.Holdings()
	if len(h) != 1 || h[0].Model != "care" || h[0].From != 0 || h[0].To != 4 {
		return ""
	}
	return h[0].Version
}

// loadReceivedAt returns the time of the last load report of a runner.
func (n *node) loadReceivedAt(name string) time.Time {
	i, _ := n.View().Fleet().Instance(name)
	return i.Load().ReceivedAt()
}

// newOrderProxy returns another address of an engine, with separate faults for orders.
func newOrderProxy(e *bergamotfake.Engine) (address string, faults *bergamotfake.Faults) {
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
		m.rollWith(ctx, 1, careVersion1)
	})

	// Guards against placement that stops when the holder of the lease dies, and against a new runner that gets no layers.
	ginkgo.It("is taken over when the holder of the lease dies, and loads layers on a new runner", func() {
		first, second := startRunner(true), startRunner(true)
		a := m.start("a")[0]
		a.putRunner("r1", first.Address(), true)
		eventually(heldVersion).WithArguments(first).Should(gomega.Equal("1"))
		b := m.start("b")[0]
		// Without the table it cannot release the lease.
		a.table.SetDown(true)
		a.stop()
		b.putRunner("r2", second.Address(), true)
		eventually(heldVersion).WithArguments(second).Should(gomega.Equal("1"))
		gomega.Expect(second.FencingTokens()[0]).To(gomega.BeNumerically(">", first.FencingTokens()[0]))
	})

	// Guards against an order of a paused lease holder that arrives after another entry took over. An engine that checks
	// the fencing token rejects it; at an engine that does not, the new holder undoes its effect.
	bergamottest.Cases(map[string]bool{
		"rejects the late order of a paused holder at a runner with fencing":   true,
		"undoes the late order of a paused holder at a runner without fencing": false,
	}, func(fenced bool) {
		ctx := context.Background()
		e := startRunner(fenced)
		slow, held := newOrderProxy(e)
		a := m.start("a")[0]
		a.putRunner("r", slow, fenced)
		eventually(a.isUsable).WithArguments("r").Should(gomega.BeTrue())
		eventually(heldVersion).WithArguments(e).Should(gomega.Equal("1"))
		m.rollWith(ctx, 2, careVersion2)
		eventually(heldVersion).WithArguments(e).Should(gomega.Equal("2"))
		// The next order of this entry hangs in the proxy.
		held.SetSilent(true)
		calls := held.Calls("/order")
		m.rollWith(ctx, 3, careVersion1)
		eventually(held.Calls).WithArguments("/order").Should(gomega.BeNumerically(">", calls))
		a.table.SetSilent(true)

		b := m.start("b")[0]
		m.setPartitioned(a, true)
		b.putRunner("r", e.Address(), fenced)
		number := e.FencingTokens()[0]
		m.rollWith(ctx, 4, "[model care]\nlayers = 4\nversion = 3\n[pipeline advice]\nmodel = care\n")
		eventually(heldVersion).WithArguments(e).Should(gomega.Equal("3"))
		// An order that no load report has confirmed is not sent again for two minutes. Waiting for two reports leaves time
		// for a run of the placement controller between them.
		for range 2 {
			at := b.loadReceivedAt("r")
			eventually(func() bool { return b.loadReceivedAt("r").After(at) }).Should(gomega.BeTrue())
		}
		before, failures := len(e.FencingTokens()), a.Metrics().Value("control.placement.errors")
		held.SetSilent(false)
		if fenced {
			eventually(a.Metrics().Value).WithArguments("control.placement.errors").Should(gomega.BeNumerically(">", failures))
		} else {
			eventually(func() bool { return slices.Contains(e.FencingTokens()[before:], number) }).Should(gomega.BeTrue())
			eventually(heldVersion).WithArguments(e).Should(gomega.Equal("3"))
		}
		gomega.Expect(slices.Contains(e.FencingTokens()[before:], number)).To(gomega.Equal(!fenced))
		gomega.Expect(heldVersion(e)).To(gomega.Equal("3"))
		// The paused entry resumes, still cut off from the table: its lease has expired, so that it sends no order.
		count := a.Metrics().Value("placement.orders")
		m.rollWith(ctx, 5, careVersion2)
		eventually(heldVersion).WithArguments(e).Should(gomega.Equal("2"))
		gomega.Expect(a.Metrics().Value("placement.orders")).To(gomega.Equal(count))
	})

	// Guards against a shortage of runners that operators cannot see.
	ginkgo.It("reports a model that no runner can hold, until one can", func() {
		a := m.start("a")[0]
		eventually(a.View().ShortOfRunners).Should(gomega.BeEmpty())
		eventually(func() []string { return a.View().ShortOfRunners() }).Should(gomega.Equal([]string{"care"}))
		eventually(a.Metrics().Value).WithArguments("placement.short").Should(gomega.BeNumerically(">", 0))
		e := startRunner(true)
		a.putRunner("r", e.Address(), true)
		eventually(func() []string { return a.View().ShortOfRunners() }).Should(gomega.BeEmpty())
		eventually(heldVersion).WithArguments(e).Should(gomega.Equal("1"))
	})

	// Guards against loads that exceed the rate of the weight store.
	ginkgo.It("loads no more than the weight store grants", func() {
		m.platform.Weights.SetRate(1e-3)
		first, second := startRunner(true), startRunner(true)
		a := m.start("a")[0]
		a.putRunner("r1", first.Address(), true)
		eventually(heldVersion).WithArguments(first).Should(gomega.Equal("1"))
		a.list.Remove("r1")
		a.putRunner("r2", second.Address(), true)
		eventually(a.Metrics().Value).WithArguments("placement.waits").Should(gomega.BeNumerically(">", 2))
		gomega.Expect(second.FencingTokens()).To(gomega.BeEmpty())
		m.platform.Weights.SetRate(0)
		eventually(heldVersion).WithArguments(second).Should(gomega.Equal("1"))
	})
})
