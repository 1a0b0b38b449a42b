package bergamotfake_test

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotroute"
	"bergamotspur/core/bergamotsession"
	"bergamotspur/core/bergamottest"
	"bergamotspur/io/bergamotengine"
	"bergamotspur/io/bergamotfake"
	"bergamotspur/io/bergamotweight"
)

func startEngine(fenced bool) (*bergamotfake.Engine, *bergamotengine.Client) {
	e := bergamotfake.NewEngine(bergamotengine.HoldingMessage{Model: "m", Version: "1", From: 0, To: 4, Adapters: []string{"a"}})
	e.Fenced = fenced
	gomega.Expect(e.Start("127.0.0.1:0")).To(gomega.Succeed())
	c := bergamotengine.NewClient()
	ginkgo.DeferCleanup(e.Kill)
	ginkgo.DeferCleanup(c.Close)
	return e, c
}

type openCase struct {
	model, version, adapter string
	to                      int
	ok                      bool
}

var _ = ginkgo.Describe("Engine", func() {
	ctx := context.Background()

	// An engine that opened a span which it refuses here would compute wrong tokens.
	bergamottest.Cases(map[string]openCase{
		"opens layers that it holds":                 {"m", "1", "", 4, true},
		"opens layers with an adapter that it holds": {"m", "1", "a", 4, true},
		"refuses an adapter that it does not hold":   {"m", "1", "b", 4, false},
		"refuses another version":                    {"m", "2", "", 4, false},
		"refuses another model":                      {"n", "1", "", 4, false},
		"refuses layers that it does not hold":       {"m", "1", "", 5, false},
	}, func(c openCase) {
		e, client := startEngine(true)
		s := bergamotsession.NewSpan(bergamotsession.SpanSpec{
			Session: "s", Attempt: 1, Model: c.model, Version: c.version, Adapter: c.adapter,
			Plan: bergamotroute.NewPlan(bergamotroute.NewStage("e", e.Address(), 0, c.to)),
		}, 0)
		gomega.Expect(client.Open(ctx, e.Address(), s) == nil).To(gomega.Equal(c.ok))
	})

	// Engines with and without a check of fencing tokens exist, and the placement controller is tested against both.
	for name, fenced := range map[string]bool{"rejects an outdated fencing token": true, "ignores an outdated fencing token": false} {
		ginkgo.It(name, func() {
			e, c := startEngine(fenced)
			gomega.Expect(c.Order(ctx, e.Address(), 5, []bergamotfleet.Holding{bergamotfleet.NewHolding("m", "2", 0, 4)})).To(gomega.Succeed())
			err := c.Order(ctx, e.Address(), 4, []bergamotfleet.Holding{bergamotfleet.NewHolding("m", "0", 0, 4)})
			gomega.Expect(err != nil).To(gomega.Equal(fenced))
			r, err := c.Probe(ctx, e.Address())
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(r.Holdings()[0].Version() == "2").To(gomega.Equal(fenced))
		})
	}

	ginkgo.It("drops layers that are not ordered before the ordered ones are loaded", func() {
		e, c := startEngine(true)
		e.LoadTime = time.Hour
		gomega.Expect(c.Order(ctx, e.Address(), 1, []bergamotfleet.Holding{bergamotfleet.NewHolding("m", "2", 0, 4)})).To(gomega.Succeed())
		r, err := c.Probe(ctx, e.Address())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(r.Holdings()).To(gomega.BeEmpty())
	})
})

var _ = ginkgo.Describe("Weights", func() {
	ginkgo.It("grants no second load before the rate allows it", func() {
		w := bergamotfake.NewWeights()
		w.SetRate(0.001)
		s := bergamottest.Must(bergamotfake.Listen("127.0.0.1:0", w.Handler()))
		ginkgo.DeferCleanup(s.Kill)
		c := bergamotweight.NewClient(s.Address())
		ginkgo.DeferCleanup(c.Close)
		wait, err := c.Reserve(context.Background(), 4)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(wait).To(gomega.BeZero())
		wait, err = c.Reserve(context.Background(), 4)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(wait).To(gomega.BeNumerically(">", time.Minute))
	})
})
