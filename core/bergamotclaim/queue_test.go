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
	// Guards against an outcome that is not written because the deadline has passed or the caller has gone away.
	bergamottest.Cases(map[string]endCase{
		"of an answer is written after the end of the context": {
			func(ctx context.Context, c *bergamotclaim.Claim) { c.Done(ctx, answer("B1")) }, bergamotclaim.StateDone,
		},
		"of an unknown outcome is written after the end of the context": {
			func(ctx context.Context, c *bergamotclaim.Claim) { c.Unknown(ctx) }, bergamotclaim.StateUnknown,
		},
		"of an undispatched call is written after the end of the context": {
			func(ctx context.Context, c *bergamotclaim.Claim) { c.Release(ctx) }, bergamotclaim.StateFree,
		},
	}, func(c endCase) {
		w := newWorld()
		claim := w.claim(w.a)
		w.onOp = func(ctx context.Context, _ string) { gomega.Expect(ctx.Err()).NotTo(gomega.HaveOccurred()) }
		ended, cancel := context.WithCancel(ctx)
		cancel()
		c.end(ended, claim)
		gomega.Expect(w.state()).To(gomega.Equal(c.want))
	})

	// Guards against a caller that waits for a table that does not answer, beyond its deadline.
	ginkgo.It("is left to the queue once the deadline has passed", func() {
		w := newWorld()
		w.fail(faultLost)
		ended, cancel := context.WithCancel(ctx)
		w.onOp = func(context.Context, string) { cancel() }
		call := bergamotclaim.NewCall("kitchen", newRequest("r", "k", "slot"), w.clock.Now().Add(granted))
		_, _, err := w.a.Begin(ended, call, nil)
		gomega.Expect(bergamotrequest.AsRefusal(err).RunState()).To(gomega.Equal(runNo))
		gomega.Expect(w.store.Journal()).To(gomega.Equal([]string{"swap"}))
		w.onOp = func(context.Context, string) {}
		gomega.Expect(w.a.Step(ctx)).To(gomega.BeTrue())
		w.claim(w.b)
	})

	// Guards against memory that large answers fill while the table is down, and against a lost fact that the call ran.
	ginkgo.It("keeps only the fact that the call ran when there is no room for its answer", func() {
		w := newWorld()
		w.a.Memory = 1
		claim := w.claim(w.a)
		w.fail(faultDown, faultDown)
		claim.Done(ctx, answer("B1"))
		w.refused(w.a, nil, bergamotrequest.ReasonUnknown, runYes)
		gomega.Expect(w.a.Step(ctx)).To(gomega.BeTrue())
		w.refused(w.b, nil, bergamotrequest.ReasonUnknown, runYes)
	})

	// Guards against an answer that is lost when the supervisor restarts the writer of queued conclusions.
	ginkgo.It("is kept over a restart of Run", func() {
		w := newWorld()
		claim := w.claim(w.a)
		w.fail(faultDown, faultDown)
		claim.Done(ctx, answer("B1"))
		gomega.Expect(w.a.Waiting()).To(gomega.Equal(1))
		w.fail(faultDown, faultDown)
		first, stop := context.WithCancel(ctx)
		w.onOp = func(context.Context, string) { stop() } // the part ends in the middle of a write
		gomega.Expect(w.a.Run(first)).To(gomega.MatchError(context.Canceled))
		gomega.Expect(w.a.Waiting()).To(gomega.Equal(1))
		w.onOp = func(context.Context, string) {}
		w.fail()
		second, stop := context.WithCancel(ctx)
		done := make(chan error, 1)
		go func() { done <- w.a.Run(second) }()
		gomega.Expect(w.a.Flush(ctx)).To(gomega.Succeed())
		stop()
		gomega.Expect(<-done).To(gomega.MatchError(context.Canceled))
		w.replayed(w.b, "B1")
	})

	// Guards against the same when the part ends by a panic and the supervisor starts it again.
	ginkgo.It("is kept over a panic of Run under a supervisor", func() {
		w := newWorld()
		claim := w.claim(w.a)
		w.fail(faultDown, faultDown)
		claim.Done(ctx, answer("B1"))
		gomega.Expect(w.a.Waiting()).To(gomega.Equal(1))
		panics := 0
		w.onOp = func(context.Context, string) {
			if panics++; panics == 1 {
				panic("fault in the table adapter")
			}
		}
		root := suture.New("test", suture.Spec{EventHook: func(suture.Event) {}})
		root.Add(part{w.a.Run})
		running, stop := context.WithCancel(ctx)
		done := root.ServeBackground(running)
		gomega.Expect(w.a.Flush(ctx)).To(gomega.Succeed())
		stop()
		gomega.Expect(<-done).To(gomega.MatchError(context.Canceled))
		gomega.Expect(panics).To(gomega.BeNumerically(">", 1))
		w.replayed(w.b, "B1")
	})
})

// part is a function as a service of the supervisor.
type part struct {
	run func(context.Context) error
}

func (p part) Serve(ctx context.Context) error { return p.run(ctx) }
