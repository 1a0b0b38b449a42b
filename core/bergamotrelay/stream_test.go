package bergamotrelay

import (
	"context"
	"slices"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotconfig"
	"bergamotspur/core/bergamottest"
)

type streamCase struct {
	resumable bool
	budget    int
	replies   []reply
	want      string // outcome
	text      string // events that the caller got
	sends     int
}

var _ = ginkgo.Describe("a stream", func() {
	broken := reply{events: 3, broken: true}
	// Guards against missing or doubled events, against a second run that the route does not allow, and against an
	// answer that looks complete although it is not.
	bergamottest.Entries(map[string]streamCase{
		"is passed on whole":                             {true, 9, []reply{{events: 4}}, "answered", "0 1 2 3 ", 1},
		"goes on after its last event at another runner": {true, 9, []reply{broken, {events: 2}}, "answered", "0 1 2 3 4 ", 2},
		"ends as broken when it may not be resumed":      {false, 9, []reply{broken, {events: 2}}, "target yes", "0 1 2 ", 1},
		"runs at no more runners than the route allows":  {true, 9, []reply{broken, broken, broken}, "target yes", "0 1 2 3 4 5 ", 2},
		"is sent again when a runner rejects it":         {false, 9, []reply{{failure: rejected()}, {events: 2}}, "answered", "0 1 ", 2},
		"is sent again after a reset when resumable":     {true, 9, []reply{{failure: reset()}, {events: 2}}, "answered", "0 1 ", 2},
		"is not sent again after a reset otherwise":      {false, 9, []reply{{failure: reset()}, {events: 2}}, "target unknown", "", 1},
		"is refused as not run when all reject it":       {true, 9, []reply{{failure: rejected()}}, "full no", "", 5},
		"is not repeated without a budget":               {true, 0, []reply{{failure: rejected()}, {events: 2}}, "full no", "", 1},
		"passes a failure of its runner on":              {true, 9, []reply{{status: 500, body: "no"}}, "answered", "no", 1},
	}, func(c streamCase) {
		g := newRig(route(bergamotconfig.RouteSpec{Type: bergamotconfig.RouteStreaming, Resumable: c.resumable, MaxAttempts: 2}), model, c.replies...)
		g.budget.left = c.budget
		gomega.Expect(outcomeOf(g.stream(context.Background()))).To(gomega.Equal(c.want))
		gomega.Expect(g.caller.text).To(gomega.Equal(c.text))
		gomega.Expect(g.upstream.attempts).To(gomega.HaveLen(c.sends))
		gomega.Expect(g.caller.starts).To(gomega.BeNumerically("<=", 1))
	})

	// Guards against streams that are cut off because rejected requests have used up the retry budget.
	ginkgo.It("goes on with the part of the budget that rejected requests may not use", func() {
		r := route(bergamotconfig.RouteSpec{Type: bergamotconfig.RouteStreaming, Resumable: true, MaxAttempts: 2})
		refused := newRig(r, model, reply{failure: rejected()}, reply{events: 1})
		refused.budget.left, refused.budget.urgent = 3, 10
		gomega.Expect(outcomeOf(refused.stream(context.Background()))).To(gomega.Equal("full no"))
		continued := newRig(r, model, reply{events: 3, broken: true}, reply{events: 1})
		continued.budget.left, continued.budget.urgent = 3, 10
		gomega.Expect(outcomeOf(continued.stream(context.Background()))).To(gomega.Equal("answered"))
	})

	// Guards against a resumed stream that returns to the runner that has just failed.
	ginkgo.It("goes on at another runner and names the position", func() {
		g := newRig(route(bergamotconfig.RouteSpec{Type: bergamotconfig.RouteStreaming, Resumable: true, MaxAttempts: 2}), model,
			reply{events: 3, broken: true}, reply{events: 1})
		gomega.Expect(g.stream(context.Background())).To(gomega.Succeed())
		names := g.upstream.runners()
		gomega.Expect(names[0]).NotTo(gomega.Equal(names[1]))
		gomega.Expect(g.upstream.attempts[1].Position()).To(gomega.Equal(2))
		gomega.Expect(g.watchers.failed).To(gomega.Equal(names[:1]))
	})

	// Guards against work for a caller that has gone away, and against a runner that is blamed for it.
	ginkgo.It("ends when the caller goes away", func() {
		g := newRig(route(bergamotconfig.RouteSpec{Type: bergamotconfig.RouteStreaming, Resumable: true, MaxAttempts: 2}), model, reply{hangs: true})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- g.stream(ctx) }()
		gomega.Eventually(g.upstream.runners).Should(gomega.HaveLen(1))
		cancel()
		gomega.Expect(outcomeOf(<-done)).To(gomega.HavePrefix("cancel"))
		gomega.Expect(g.upstream.runners()).To(gomega.HaveLen(1))
		gomega.Expect(g.watchers.failed).To(gomega.BeEmpty())
	})

	// Guards against memory that stays reserved for requests that have ended.
	ginkgo.It("releases what it reserved", func() {
		for range 2000 {
			g := newRig(route(bergamotconfig.RouteSpec{Type: bergamotconfig.RouteStreaming, Resumable: true, MaxAttempts: 2}), model,
				reply{events: 1, broken: true}, reply{events: 1})
			gomega.Expect(g.stream(context.Background())).To(gomega.Succeed())
			if slices.Contains(g.upstream.runners(), "") {
				ginkgo.Fail("an attempt without a runner")
			}
		}
	})
})
