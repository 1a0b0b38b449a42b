package bergamotclaim_test

import (
	"context"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/thejerf/suture/v4"

	"bergamotspur/core/bergamotclaim"
	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamottest"
)

type endCase struct {
	end  func(context.Context, *bergamotclaim.Claim)
	want bergamotclaim.State
}

var _ = ginkgo.Describe("a conclusion", func() {
	// Guards against an outcome that is not written because the context of the request was canceled.
	bergamottest.Cases(map[string]endCase{
		"of an answer is written after the context is canceled": {
			func(ctx context.Context, c *bergamotclaim.Claim) { c.Done(ctx, answer("B1")) }, bergamotclaim.StateDone,
		},
		"of an unknown outcome is written after the context is canceled": {
			func(ctx context.Context, c *bergamotclaim.Claim) { c.Unknown(ctx) }, bergamotclaim.StateUnknown,
		},
		"of an undispatched call is written after the context is canceled": {
			func(ctx context.Context, c *bergamotclaim.Claim) { c.Release(ctx) }, bergamotclaim.StateFree,
		},
	}, func(c endCase) {
		w := newFixture()
		claim := w.claim(w.a)
		w.beforeOperation = func(ctx context.Context, _ string) { gomega.Expect(ctx.Err()).NotTo(gomega.HaveOccurred()) }
		ended, cancel := context.WithCancel(ctx)
		cancel()
		c.end(ended, claim)
		gomega.Expect(w.state()).To(gomega.Equal(c.want))
	})

	// Guards against a caller that waits past its deadline for a table that does not respond.
	ginkgo.It("is queued when the context ends during the write", func() {
		w := newFixture()
		w.injectFaults(faultReplyLost)
		ended, cancel := context.WithCancel(ctx)
		w.beforeOperation = func(context.Context, string) { cancel() }
		call := bergamotclaim.NewCall("kitchen", newRequest("r", "k", "slot"), w.clock.Now().Add(callTimeout))
		_, _, err := w.a.Begin(ended, call, nil)
		gomega.Expect(bergamotrequest.AsRefusal(err).RunState()).To(gomega.Equal(runNo))
		gomega.Expect(w.store.Journal()).To(gomega.Equal([]string{"swap"}))
		w.beforeOperation = func(context.Context, string) {}
		gomega.Expect(w.a.WriteNext(ctx)).To(gomega.BeTrue())
		w.claim(w.b)
	})

	// Guards against large answers that fill the memory while the table is down, and against losing the fact that the
	// call ran.
	ginkgo.It("keeps only the fact that the call ran when the queue has no space for its answer", func() {
		w := newFixture()
		w.a.MaxQueuedBytes = 1
		claim := w.claim(w.a)
		w.injectFaults(faultDown, faultDown)
		claim.Done(ctx, answer("B1"))
		w.expectRefusal(w.a, nil, bergamotrequest.ReasonUnknown, runYes)
		gomega.Expect(w.a.WriteNext(ctx)).To(gomega.BeTrue())
		w.expectRefusal(w.b, nil, bergamotrequest.ReasonUnknown, runYes)
	})

	// Guards against losing a queued answer when the supervisor restarts Run.
	ginkgo.It("is kept across a restart of Run", func() {
		w := newFixture()
		claim := w.claim(w.a)
		w.injectFaults(faultDown, faultDown)
		claim.Done(ctx, answer("B1"))
		gomega.Expect(w.a.Pending()).To(gomega.Equal(1))
		w.injectFaults(faultDown, faultDown)
		first, stop := context.WithCancel(ctx)
		w.beforeOperation = func(context.Context, string) { stop() } // Run ends during a write
		gomega.Expect(w.a.Run(first)).To(gomega.MatchError(context.Canceled))
		gomega.Expect(w.a.Pending()).To(gomega.Equal(1))
		w.beforeOperation = func(context.Context, string) {}
		w.injectFaults()
		second, stop := context.WithCancel(ctx)
		done := make(chan error, 1)
		go func() { done <- w.a.Run(second) }()
		gomega.Expect(w.a.Flush(ctx)).To(gomega.Succeed())
		stop()
		gomega.Expect(<-done).To(gomega.MatchError(context.Canceled))
		w.expectReplay(w.b, "B1")
	})

	// Guards against losing a queued answer when Run panics and the supervisor restarts it.
	ginkgo.It("is kept across a panic of Run under a supervisor", func() {
		w := newFixture()
		claim := w.claim(w.a)
		w.injectFaults(faultDown, faultDown)
		claim.Done(ctx, answer("B1"))
		gomega.Expect(w.a.Pending()).To(gomega.Equal(1))
		panics := 0
		w.beforeOperation = func(context.Context, string) {
			if panics++; panics == 1 {
				panic("fault in the table adapter")
			}
		}
		root := suture.New("test", suture.Spec{EventHook: func(suture.Event) {}})
		root.Add(runService{w.a.Run})
		running, stop := context.WithCancel(ctx)
		done := root.ServeBackground(running)
		gomega.Expect(w.a.Flush(ctx)).To(gomega.Succeed())
		stop()
		gomega.Expect(<-done).To(gomega.MatchError(context.Canceled))
		gomega.Expect(panics).To(gomega.BeNumerically(">", 1))
		w.expectReplay(w.b, "B1")
	})
})

// runService adapts a function to a service of the supervisor.
type runService struct {
	run func(context.Context) error
}

func (p runService) Serve(ctx context.Context) error { return p.run(ctx) }
