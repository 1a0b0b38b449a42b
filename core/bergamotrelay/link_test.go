package bergamotrelay

import (
	"context"
	"errors"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotconfig"
	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamottest"
)

type linkCase struct {
	kind      bergamotconfig.RouteType
	replies   []reply
	want      string
	wantSends int
}

type doubtCase struct {
	doubt     bool
	noBudget  bool // there is no retry left
	replies   []reply
	want      string
	wantSends int
}

type lateCase struct {
	reply reply
	want  string
}

var _ = ginkgo.Describe("a request of an entry without links to the runners", func() {
	const once, many, stream = bergamotconfig.RouteNonIdempotent, bergamotconfig.RouteIdempotent, bergamotconfig.RouteStreaming
	noHelper := reply{failure: NewFailure(bergamotrequest.RunNo, bergamotrequest.ReasonLink, errors.New("no helper"))}
	unreached := reply{failure: NewFailure(bergamotrequest.RunNo, bergamotrequest.ReasonTarget, errors.New("connection reset"))}
	unsent := reply{failure: unreached.failure.Unsent()}
	broken := reply{failure: NewFailure(bergamotrequest.RunUnknown, bergamotrequest.ReasonLink, errors.New("the tunnel broke off"))}
	ok := reply{body: "ok", events: 3}
	// Guards against runners that are marked as failed and retries that are used up because the own links or a helper failed, and
	// against a booking that runs twice because its helper was lost.
	bergamottest.Cases(map[string]linkCase{
		"is refused at once when no entry helps":                   {once, []reply{noHelper, ok}, "link no", 1},
		"is refused at once when no entry helps, as a lookup":      {many, []reply{noHelper, ok}, "link no", 1},
		"is refused at once when no entry helps, as a stream":      {stream, []reply{noHelper, ok}, "link no", 1},
		"that must not run twice is not repeated without a helper": {once, []reply{broken, ok}, "link unknown", 1},
		"that may be repeated is repeated when a helper is lost":   {many, []reply{broken, ok}, "answered", 2},
		"is resumed as a stream when a helper is lost":             {stream, []reply{broken, ok}, "answered", 2},
	}, func(c linkCase) {
		service := plain
		if c.kind == stream {
			service = model
		}
		g := newRig(route(bergamotconfig.RouteSpec{Type: c.kind, MaxAttempts: map[bool]int{true: 1, false: 2}[c.kind == once], Resumable: true}), service, c.replies...)
		if c.kind == stream {
			gomega.Expect(outcomeOf(g.stream(context.Background()))).To(gomega.Equal(c.want))
		} else {
			gomega.Expect(outcomeOf(g.call(context.Background()))).To(gomega.Equal(c.want))
		}
		gomega.Expect(g.upstream.attempts).To(gomega.HaveLen(c.wantSends))
		gomega.Expect(g.observer.failed).To(gomega.BeEmpty())
		for _, name := range []string{"x", "y", "z"} {
			gomega.Expect(g.router.IsAvoided(name)).To(gomega.BeFalse(), name)
		}
	})

	// Guards against calls, and streams of plain runners, that are refused within milliseconds of the loss of the links, before others are
	// found that reach the runners, and against those that are tried again although a runner may have got them, or the links work.
	bergamottest.Cases(map[string]doubtCase{
		"reaches a runner a moment later":         {doubt: true, replies: []reply{unreached, unreached, unreached, ok}, want: "answered", wantSends: 4},
		"ends when no runner is reached":          {doubt: true, replies: []reply{unreached}, want: "target no", wantSends: 12},
		"needs no budget for retries":             {doubt: true, noBudget: true, replies: []reply{unsent, unsent, unsent, ok}, want: "answered", wantSends: 4},
		"needs some after a rejection":            {noBudget: true, replies: []reply{{failure: rejected()}, ok}, want: "full no", wantSends: 1},
		"is refused at once while the links work": {replies: []reply{unreached}, want: "target no", wantSends: 3},
		"is not repeated once it may have run":    {doubt: true, replies: []reply{{failure: reset()}, ok}, want: "target unknown", wantSends: 1},
		"is not repeated where runners are full":  {doubt: true, replies: []reply{{failure: rejected()}}, want: "full no", wantSends: 3},
	}, func(c doubtCase) {
		for _, kind := range []bergamotconfig.RouteType{once, stream} {
			g := newRig(route(bergamotconfig.RouteSpec{Type: kind, MaxAttempts: 1}), plain, c.replies...)
			g.budget.left = map[bool]int{false: 100}[c.noBudget]
			calls, streams := g.callHandler(), g.streamHandler(g.upstream, silentReporter{})
			calls.Clock, calls.MayLackLinks = instantClock{g.clock}, func() bool { return c.doubt }
			streams.MayLackLinks = calls.MayLackLinks
			handler := map[bergamotconfig.RouteType]Handler{once: calls, stream: streams}[kind]
			gomega.Expect(outcomeOf(handler.Handle(context.Background(), g.x))).To(gomega.Equal(c.want))
			gomega.Expect(g.upstream.attempts).To(gomega.HaveLen(c.wantSends))
		}
	})

	// Guards against a stream whose outcome is left open although its connection was never opened.
	bergamottest.Cases(map[string]lateCase{
		"has not run when its time passes before it is sent":  {reply{unsent: true}, "deadline no"},
		"may have run when its time passes after it was sent": {reply{hangs: true}, "deadline unknown"},
	}, func(c lateCase) {
		g := newRig(route(bergamotconfig.RouteSpec{Type: stream, MaxAttempts: 1}), model, c.reply)
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		gomega.Expect(outcomeOf(g.stream(ctx))).To(gomega.Equal(c.want))
	})

	// Guards against requests that wait for a path until their deadline although no runner can be reached.
	ginkgo.It("passes the filter of links only while a runner can be reached", func() {
		g := newRig(route(bergamotconfig.RouteSpec{}), plain, ok)
		isolated := true
		f := &LinkFilter{Clock: g.clock, IsIsolated: func() bool { return isolated }}
		err := f.Filter(context.Background(), g.x, handlerFunc(func(context.Context, *Exchange) error { return nil }))
		gomega.Expect(outcomeOf(err)).To(gomega.Equal("link no"))
		gomega.Expect(bergamotrequest.AsRefusal(err).RetryAfter()).To(gomega.BeNumerically(">", 0))
		isolated = false
		gomega.Expect(f.Filter(context.Background(), g.x, handlerFunc(func(context.Context, *Exchange) error { return nil }))).To(gomega.Succeed())
	})

	// Guards against requests whose contents are refused everywhere because the links of one entry failed.
	ginkgo.It("is not blamed for the crash of a runner that is not reached", func() {
		for doubtful, want := range map[bool]bool{true: false, false: true} {
			g := newRig(route(bergamotconfig.RouteSpec{}), model)
			g.links.doubtful = doubtful
			gomega.Expect(g.quarantine().hasCrashed(context.Background(), instance("x", "llm"))).To(gomega.Equal(want))
		}
	})

	// Guards against an operator who cannot see that a request took a detour.
	ginkgo.It("names the entry over which it went", func() {
		g := newRig(route(bergamotconfig.RouteSpec{Type: many}), plain, ok)
		g.upstream.helper = "edge-2"
		gomega.Expect(g.call(context.Background())).To(gomega.Succeed())
		gomega.Expect(g.x.Trace().Steps()).To(gomega.HaveSuffix("over edge-2"))
		gomega.Expect(g.x.Trace().Detours()).To(gomega.Equal(1))
	})
})

type silentLinkCase struct {
	idle      time.Duration
	lost      bool // the links were lost silently after the attempt began
	successor bool
	ends      bool
}

var _ = ginkgo.Describe("an attempt on a connection that the links of the entry have made silent", func() {
	// Guards against streams that wait on a dead connection until their callers give up, and against leaving sound connections.
	bergamottest.Cases(map[string]silentLinkCase{
		"ends when another attempt can take over":    {120 * time.Millisecond, true, true, true},
		"goes on while it is not idle":               {100 * time.Millisecond, true, true, false},
		"goes on when no other attempt is allowed":   {time.Second, true, false, false},
		"goes on at runners that answer, with links": {time.Second, false, false, false},
	}, func(c silentLinkCase) {
		clock := bergamotclock.NewVirtual(now)
		d := &StallDetector{Clock: clock, IsSuspected: func(string) bool { return false }, Reporter: fixedReporter{}}
		h := &StreamHandler{Links: fakeLinks{silentSince: map[bool]time.Time{true: now.Add(time.Millisecond)}[c.lost]}}
		ctx, cancel := context.WithCancelCause(context.Background())
		defer cancel(nil)
		avoided := "none"
		spec := watchSpec{
			request: "1", plan: twoStages, maxSilence: 2 * time.Second, isLinkLost: h.isLinkLost(now), cancel: cancel, onStall: func(string, error) { ginkgo.Fail("a runner is reported") },
		}
		if c.successor {
			spec.takeSuccessor = func(address string, _ float64) bool {
				avoided = address
				return true
			}
		}
		w := d.watch(spec)
		defer w.stop()
		w.timer.Stop() // the spec calls check itself
		clock.Advance(c.idle)
		w.check()
		gomega.Expect(context.Cause(ctx) != nil).To(gomega.Equal(c.ends))
		if c.ends {
			gomega.Expect(context.Cause(ctx)).To(gomega.MatchError(errLinkLost))
			gomega.Expect(avoided).To(gomega.BeEmpty(), "the runners of the path may go on")
		}
	})

	// Guards against leaving an attempt that took a detour because the links were lost before it.
	ginkgo.It("does not include one that began after the loss", func() {
		h := &StreamHandler{Links: fakeLinks{silentSince: now}}
		gomega.Expect(h.isLinkLost(now.Add(time.Millisecond))()).To(gomega.BeFalse())
	})
})
