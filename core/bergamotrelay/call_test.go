package bergamotrelay

import (
	"context"
	"errors"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotcluster"
	"bergamotspur/core/bergamotconfig"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamottest"
)

type callCase struct {
	repeat    bergamotconfig.RouteType
	budget    int
	replies   []reply
	want      string
	status    int
	wantSends int
}

var _ = ginkgo.Describe("a call", func() {
	const once, many = bergamotconfig.RouteNonIdempotent, bergamotconfig.RouteIdempotent
	ok := reply{body: "ok"}
	// Guards against a booking that runs twice, a refusal that claims "not run" for a call that may have run, and a
	// lookup that fails although another runner could answer it.
	bergamottest.Cases(map[string]callCase{
		"is answered": {once, 9, []reply{ok}, "answered", 200, 1},
		"that must not run twice is not retried after a reset":             {once, 9, []reply{{failure: reset()}, ok}, "target unknown", 0, 1},
		"that must not run twice is retried after a rejection":             {once, 9, []reply{{failure: rejected()}, ok}, "answered", 200, 2},
		"that all runners reject is refused as not run":                    {once, 9, []reply{{failure: rejected()}}, "full no", 0, 3},
		"is not retried without a retry budget":                            {once, 0, []reply{{failure: rejected()}, ok}, "full no", 0, 1},
		"that must not run twice is not retried after an unproven promise": {once, 9, []reply{{failure: unproven()}, ok}, "promise unknown", 0, 1},
		"that may be repeated is retried after an unproven promise":        {many, 9, []reply{{failure: unproven()}, ok}, "answered", 200, 2},
		"returns a status 500 kept before an unproven promise":             {many, 9, []reply{{status: 500}, {failure: unproven()}}, "answered", 500, 2},
		"is no promise if another runner may have run it":                  {many, 9, []reply{{failure: unproven()}, {failure: rejected()}}, "full unknown", 0, 3},
		"that may be repeated is retried after a reset":                    {many, 9, []reply{{failure: reset()}, ok}, "answered", 200, 2},
		"that may be repeated is retried after a status 500":               {many, 9, []reply{{status: 500}, ok}, "answered", 200, 2},
		"returns a runner's status 500 when all attempts fail":             {many, 9, []reply{{status: 500}}, "answered", 500, 2},
		"that must not run twice returns a status 500":                     {once, 9, []reply{{status: 500}, ok}, "answered", 500, 1},
		"runs at no more runners than the route allows":                    {many, 9, []reply{{failure: reset()}, {failure: reset()}, ok}, "target unknown", 0, 2},
		"that may be repeated returns a status 404 at once":                {many, 9, []reply{{status: 404}, ok}, "answered", 404, 1},
	}, func(c callCase) {
		attempts := 1
		if c.repeat == many {
			attempts = 2
		}
		g := newRig(route(bergamotconfig.RouteSpec{Type: c.repeat, MaxAttempts: attempts}), plain, c.replies...)
		g.budget.left = c.budget
		gomega.Expect(outcomeOf(g.call(context.Background()))).To(gomega.Equal(c.want))
		gomega.Expect(g.caller.status).To(gomega.Equal(c.status))
		gomega.Expect(g.upstream.attempts).To(gomega.HaveLen(c.wantSends))
	})

	// Guards against a lookup that waits for a silent runner until its deadline.
	ginkgo.It("that may be repeated goes to a second runner when the first is silent", func() {
		g := newRig(route(bergamotconfig.RouteSpec{Type: many, MaxAttempts: 2}), plain, reply{hangs: true}, ok)
		done := make(chan error, 1)
		go func() { done <- g.call(context.Background()) }()
		gomega.Eventually(g.clock.PendingTimers).Should(gomega.Equal(1))
		gomega.Eventually(g.upstream.runners).Should(gomega.HaveLen(1))
		g.clock.Advance(50 * time.Millisecond)
		gomega.Expect(<-done).To(gomega.Succeed())
		names := g.upstream.runners()
		gomega.Expect(names[0]).NotTo(gomega.Equal(names[1]))
	})

	// Guards against a booking that is reported as not run because its deadline passed while a runner was processing
	// it.
	ginkgo.It("whose deadline passes at a runner has an unknown outcome", func() {
		g := newRig(route(bergamotconfig.RouteSpec{Type: once, MaxAttempts: 1}), plain, reply{hangs: true})
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		gomega.Expect(outcomeOf(g.call(ctx))).To(gomega.Equal("deadline unknown"))
	})

	// Guards against sending all calls to some runners while others are idle.
	ginkgo.It("goes to the least loaded runner", func() {
		delay := make(chan struct{})
		g := newRig(route(bergamotconfig.RouteSpec{Type: once, MaxAttempts: 1}), plain, reply{delay: delay, body: "ok"})
		h := g.callHandler()
		done := make(chan error, 3)
		for range 3 {
			x := NewExchange(g.x.Request(), g.views.view, &caller{})
			x.SetRoute(g.x.Route(), plain)
			x.SetDeadline(g.x.Deadline())
			go func() { done <- h.Handle(context.Background(), x) }()
		}
		gomega.Eventually(g.upstream.runners).Should(gomega.ConsistOf("x", "y", "z"))
		close(delay)
		for range 3 {
			gomega.Expect(<-done).To(gomega.Succeed())
		}
	})
})

type pathCallCase struct {
	repeat    bergamotconfig.RouteType
	holders   []string // runners with all layers; without any, x holds the first half and y and z the second one
	replies   []reply
	want      string
	wantSends int
	reports   int    // of failed runners
	blamed    string // the only runner that is reported, empty for any
	isSuspect bool   // the crash of a runner is attributed to the call
	waits     bool   // until a runner may be tried again
}

var _ = ginkgo.Describe("a call over a path", func() {
	const once, many = bergamotconfig.RouteNonIdempotent, bergamotconfig.RouteIdempotent
	ok, all := reply{body: "ok"}, []string{"x", "y", "z"}
	atSecond := reply{failure: NewFailure(bergamotrequest.RunNo, bergamotrequest.ReasonTarget, errors.New("status 421")).WithFaultAddress("y:1")}
	// Guards against calls to model runners that are refused while layers are repaired, that hold back an answer for another one, that blame
	// the first runner of a path for another one, and against sound calls that are refused because they waited at a runner that crashed.
	bergamottest.Cases(map[string]pathCallCase{
		"is answered": {repeat: once, holders: all, replies: []reply{ok}, want: "answered", wantSends: 1},
		"waits when all runners have rejected it":             {repeat: once, holders: all, replies: []reply{{failure: rejected()}, {failure: rejected()}, {failure: rejected()}, ok}, want: "answered", wantSends: 4, reports: 3, waits: true},
		"is refused as not run when no runner takes it":       {repeat: once, holders: all, replies: []reply{{failure: rejected()}}, want: "full no", wantSends: 4, reports: 4, waits: true},
		"returns an answer without waiting for another path":  {repeat: many, holders: all[:1], replies: []reply{{status: 500}, ok}, want: "answered", wantSends: 1},
		"avoids the runner at fault":                          {repeat: once, replies: []reply{atSecond, ok}, want: "answered", wantSends: 2, reports: 1, blamed: "y"},
		"is not blamed for a crash when another runner is up": {repeat: many, holders: all, replies: []reply{{failure: reset()}, ok}, want: "answered", wantSends: 2, reports: 1},
		"is suspect when it ends with a crash":                {repeat: once, holders: all, replies: []reply{{failure: reset()}}, want: "target unknown", wantSends: 1, reports: 1, isSuspect: true},
	}, func(c pathCallCase) {
		g := newRig(route(bergamotconfig.RouteSpec{Type: c.repeat, MaxAttempts: 1 + int(c.repeat)}), model, c.replies...)
		var list []bergamotfleet.Instance
		for _, name := range c.holders {
			list = append(list, instance(name, "llm"))
		}
		if len(c.holders) == 0 {
			list = []bergamotfleet.Instance{holder("x", 0, 4), holder("y", 4, 8), holder("z", 4, 8)}
		}
		g.views = fixedView{bergamotcluster.NewView(nil, 0, bergamotfleet.NewFleet(list))}
		h := g.callHandler()
		h.Clock = instantClock{g.clock}
		gomega.Expect(outcomeOf(h.Handle(context.Background(), g.x))).To(gomega.Equal(c.want))
		gomega.Expect(g.upstream.attempts).To(gomega.HaveLen(c.wantSends))
		gomega.Expect(g.observer.failed).To(gomega.HaveLen(c.reports))
		if c.blamed != "" {
			gomega.Expect(g.observer.failed).To(gomega.HaveEach(c.blamed))
		}
		gomega.Expect(g.ledger.IsSuspect(g.x.Contents()...)).To(gomega.Equal(c.isSuspect))
		gomega.Expect(g.clock.Now().After(now.Add(avoidDuration/2))).To(gomega.Equal(c.waits), "%s", g.clock.Now().Sub(now))
	})
})

// holder returns a model runner that holds a range of layers.
func holder(name string, from, to int) bergamotfleet.Instance {
	spec := instance(name, "llm").Spec()
	spec.Holdings = []bergamotfleet.Holding{bergamotfleet.NewHolding("m", "1", from, to)}
	return bergamotfleet.NewInstance(spec)
}
