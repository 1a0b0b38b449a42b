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
	text      string // events that the caller received
	wantSends int
}

type lastEventCase struct {
	resumable bool
	again     bool // the runner sends all events wherever the request goes on
	want      string
	text      string
	after     int // that the runner is told
}

var _ = ginkgo.Describe("a stream", func() {
	broken := reply{events: 3, broken: true}
	// Guards against missing or duplicate events, against a second run that the route does not allow, and against an
	// incomplete response that looks complete.
	cases := map[string]streamCase{
		"ends with a failure when it has no event":             {true, 9, []reply{{}, {events: 2}}, "target yes", "", 1},
		"is forwarded completely":                              {true, 9, []reply{{events: 4}}, "answered", "0 1 2 3 ", 1},
		"is resumed after its last event at another runner":    {true, 9, []reply{broken, {events: 2}}, "answered", "0 1 2 3 4 ", 2},
		"ends with a failure when it is not resumable":         {false, 9, []reply{broken, {events: 2}}, "target yes", "0 1 2 ", 1},
		"runs at no more runners than the route allows":        {true, 9, []reply{broken, broken, broken}, "target yes", "0 1 2 3 4 5 ", 2},
		"is retried when a runner rejects it":                  {false, 9, []reply{{failure: rejected()}, {events: 2}}, "answered", "0 1 ", 2},
		"is retried after a reset when resumable":              {true, 9, []reply{{failure: reset()}, {events: 2}}, "answered", "0 1 ", 2},
		"is not retried after an unproven promise otherwise":   {false, 9, []reply{{failure: unproven()}, {events: 2}}, "promise unknown", "", 1},
		"may have run after an unproven promise":               {true, 9, []reply{{failure: unproven()}, {failure: rejected()}}, "full unknown", "", 5},
		"is not retried after a reset otherwise":               {false, 9, []reply{{failure: reset()}, {events: 2}}, "target unknown", "", 1},
		"is refused as not run when all runners reject it":     {true, 9, []reply{{failure: rejected()}}, "full no", "", 5},
		"ends with a failure when a runner sends events again": {true, 9, []reply{broken, {events: 5, again: true}}, "target yes", "0 1 2 ", 2},
		"is not retried without a retry budget":                {true, 0, []reply{{failure: rejected()}, {events: 2}}, "full no", "", 1},
		"ends with a failure when the next runner fails":       {true, 9, []reply{broken, {status: 500, body: "no"}}, "target yes", "0 1 2 ", 2},
		"returns a whole answer of its runner":                 {false, 9, []reply{{body: "yes", whole: true}}, "answered", "yes", 1},
		"returns a whole answer after a rejection":             {true, 9, []reply{{failure: rejected()}, {body: "yes", whole: true}}, "answered", "yes", 2},
		"ends with a failure when the next answer is whole":    {true, 9, []reply{broken, {body: "yes", whole: true}}, "target yes", "0 1 2 ", 2},
		"returns a status 500 of its runner":                   {true, 9, []reply{{status: 500, body: "no"}}, "answered", "no", 1},
	}
	plainCases := map[string]streamCase{}
	for name, c := range cases {
		plainCases["of a service without layers "+name] = c
	}
	// Without layers, a stream that has not begun tries no runner twice.
	for _, name := range []string{"is refused as not run when all runners reject it", "may have run after an unproven promise"} {
		c := cases[name]
		c.wantSends = 3
		plainCases["of a service without layers "+name] = c
	}
	check := func(service bergamotconfig.Service, c streamCase) {
		g := newRig(route(bergamotconfig.RouteSpec{Type: bergamotconfig.RouteStreaming, Resumable: c.resumable, MaxAttempts: 2}), service, c.replies...)
		g.budget.left = c.budget
		gomega.Expect(outcomeOf(g.stream(context.Background()))).To(gomega.Equal(c.want))
		gomega.Expect(g.caller.text).To(gomega.Equal(c.text))
		gomega.Expect(g.upstream.attempts).To(gomega.HaveLen(c.wantSends))
		gomega.Expect(g.caller.starts).To(gomega.BeNumerically("<=", 1))
	}
	bergamottest.Cases(cases, func(c streamCase) { check(model, c) })
	bergamottest.Cases(plainCases, func(c streamCase) { check(plain, c) })

	// Guards against a caller that joins two runs where the route does not allow it, and against one that gets events again where it does.
	bergamottest.Cases(map[string]lastEventCase{
		"goes on after the last event of its caller":            {resumable: true, want: "answered", text: "3 4 ", after: 2},
		"ends with a failure when its runner begins anew":       {resumable: true, again: true, want: "target yes", after: 2},
		"begins anew where it may not be resumed":               {want: "answered", text: "0 1 ", after: -1},
		"is whole where it may not be resumed, for all runners": {again: true, want: "answered", text: "0 1 ", after: -1},
	}, func(c lastEventCase) {
		for _, service := range []bergamotconfig.Service{model, plain} {
			g := newRig(route(bergamotconfig.RouteSpec{Type: bergamotconfig.RouteStreaming, Resumable: c.resumable, MaxAttempts: 1}), service, reply{events: 2, again: c.again})
			g.x.request = NewRequest(RequestSpec{ID: "1", LastEvent: 2, ArrivedAt: now})
			gomega.Expect(outcomeOf(g.stream(context.Background()))).To(gomega.Equal(c.want))
			gomega.Expect(g.caller.text).To(gomega.Equal(c.text))
			gomega.Expect(g.upstream.attempts[0].ResumeAfter()).To(gomega.Equal(c.after))
		}
	})

	// Guards against interrupted streams that cannot be resumed because rejected requests have used up the retry
	// budget.
	ginkgo.It("is resumed with the share of the budget that rejected requests may not use", func() {
		r := route(bergamotconfig.RouteSpec{Type: bergamotconfig.RouteStreaming, Resumable: true, MaxAttempts: 2})
		refused := newRig(r, model, reply{failure: rejected()}, reply{events: 1})
		refused.budget.left, refused.budget.size = 3, 10
		gomega.Expect(outcomeOf(refused.stream(context.Background()))).To(gomega.Equal("full no"))
		resumed := newRig(r, model, reply{events: 3, broken: true}, reply{events: 1})
		resumed.budget.left, resumed.budget.size = 3, 10
		gomega.Expect(outcomeOf(resumed.stream(context.Background()))).To(gomega.Equal("answered"))
	})

	// Guards against cutting off a stream at a slow runner whose first event is overdue although no other runner has its layers.
	ginkgo.It("leaves a path without an event only for another path", func() {
		g := newRig(route(resumable), model, reply{events: 1})
		h := g.streamHandler(g.upstream, silentReporter{})
		h.Budget = unlimitedBudget{}
		s := &streamState{handler: h, x: g.x, avoid: map[string]bool{}, lastEvent: -1, trial: &trial{}}
		p, ok := h.Runners.reserve(g.x, nil)
		gomega.Expect(ok).To(gomega.BeTrue())
		first := p.Stages()[0]
		gomega.Expect(s.successorFunc(context.Background(), p, &handover{lastEvent: -1})(first.Address(), 1)).To(gomega.BeTrue())
		for _, name := range []string{"x", "y", "z"} {
			s.avoid[name] = name != first.Instance()
		}
		gomega.Expect(s.successorFunc(context.Background(), p, &handover{lastEvent: -1})(first.Address(), 1)).To(gomega.BeFalse())
	})

	// Guards against resuming a stream at the runner that has just failed.
	ginkgo.It("is resumed at a runner that has not failed, with the number of its last event", func() {
		g := newRig(route(bergamotconfig.RouteSpec{Type: bergamotconfig.RouteStreaming, Resumable: true, MaxAttempts: 2}), model,
			reply{events: 3, broken: true}, reply{events: 1})
		gomega.Expect(g.stream(context.Background())).To(gomega.Succeed())
		names := g.upstream.runners()
		gomega.Expect(names[0]).NotTo(gomega.Equal(names[1]))
		gomega.Expect(g.upstream.attempts[1].ResumeAfter()).To(gomega.Equal(2))
		gomega.Expect(g.observer.failed).To(gomega.Equal(names[:1]))
	})

	// Guards against further attempts after the caller has disconnected, and against counting the disconnect as a
	// failure of the runner.
	ginkgo.It("ends when the caller disconnects", func() {
		g := newRig(route(bergamotconfig.RouteSpec{Type: bergamotconfig.RouteStreaming, Resumable: true, MaxAttempts: 2}), model, reply{hangs: true})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- g.stream(ctx) }()
		gomega.Eventually(g.upstream.runners).Should(gomega.HaveLen(1))
		cancel()
		gomega.Expect(outcomeOf(<-done)).To(gomega.HavePrefix("cancel"))
		gomega.Expect(g.upstream.runners()).To(gomega.HaveLen(1))
		gomega.Expect(g.observer.failed).To(gomega.BeEmpty())
	})

	// Guards against memory that stays reserved after a request has ended.
	ginkgo.It("releases the memory that it reserved", func() {
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
