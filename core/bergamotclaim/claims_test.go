package bergamotclaim_test

import (
	"context"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotclaim"
	"bergamotspur/core/bergamotmemory"
	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamottest"
)

const (
	runNo      = bergamotrequest.RunNo
	runYes     = bergamotrequest.RunYes
	runUnknown = bergamotrequest.RunUnknown
)

var ctx = context.Background()

func serviceReports(ran bool) bergamotclaim.AskFunc {
	return func(context.Context) (bool, error) { return ran, nil }
}

var _ = ginkgo.Describe("Claims", func() {
	// Guards against an extra table write for each way a call can end.
	bergamottest.Cases(map[string]struct{ end func(*bergamotclaim.Claim) }{
		"write twice for an answer":          {func(c *bergamotclaim.Claim) { c.Done(ctx, answer("B1")) }},
		"write twice for a large answer":     {func(c *bergamotclaim.Claim) { c.Done(ctx, answer(strings.Repeat("x", maxInlineBytes+1))) }},
		"write twice for an unknown outcome": {func(c *bergamotclaim.Claim) { c.Unknown(ctx) }},
		"write twice for a release":          {func(c *bergamotclaim.Claim) { c.Release(ctx) }},
	}, func(c struct{ end func(*bergamotclaim.Claim) }) {
		w := newFixture()
		c.end(w.claim(w.a))
		gomega.Expect(w.store.Calls(bergamotmemory.Swap)).To(gomega.Equal(2))
		gomega.Expect(w.store.Calls(bergamotmemory.Read)).To(gomega.BeZero())
	})

	// Each case injects a fault of the table or the object store while two entries handle the same call. The run state
	// returned to a caller must be correct, and a repeat must not run the call a second time.
	bergamottest.Cases(map[string]struct{ run func(w *fixture) }{
		"recognise its own claim whose reply was lost": {func(w *fixture) {
			w.injectFaults(faultReplyLost)
			w.claim(w.a).Done(ctx, answer("B1"))
			gomega.Expect(w.store.Calls(bergamotmemory.Swap)).To(gomega.Equal(2))
			w.expectReplay(w.b, "B1")
		}},
		"recognise its own claim that took effect after the read": {func(w *fixture) {
			w.injectFaults(faultDelayed)
			w.beforeOperation = func(_ context.Context, op string) {
				if op == "swap" {
					w.store.Deliver() // the first write arrives just before the second
				}
			}
			w.claim(w.a)
			gomega.Expect(w.store.Writes()).To(gomega.Equal(1))
			w.expectRefusal(w.b, nil, bergamotrequest.ReasonProgress, runUnknown)
		}},
		"recognise its own conclusion whose reply was lost": {func(w *fixture) {
			claim := w.claim(w.a)
			w.injectFaults(faultReplyLost)
			claim.Done(ctx, answer("B1"))
			gomega.Expect(w.store.Calls(bergamotmemory.Swap)).To(gomega.Equal(2))
			gomega.Expect(w.a.Pending()).To(gomega.BeZero())
			w.expectReplay(w.b, "B1")
		}},
		"recognise its own release whose reply was lost": {func(w *fixture) {
			claim := w.claim(w.a)
			w.injectFaults(faultReplyLost)
			claim.Release(ctx)
			gomega.Expect(w.store.Calls(bergamotmemory.Swap)).To(gomega.Equal(2))
			w.claim(w.b)
		}},
		"refuse as not run when the table is down": {func(w *fixture) {
			w.injectFaults(faultDown, faultDown)
			w.expectRefusal(w.a, nil, bergamotrequest.ReasonTable, runNo)
			w.claim(w.b)
		}},
		"refuse as not run when the table rejects the claim": {func(w *fixture) {
			w.injectFaults(faultRejected)
			w.expectRefusal(w.a, nil, bergamotrequest.ReasonTable, runNo)
			gomega.Expect(w.a.Pending()).To(gomega.BeZero())
		}},
		"free a claim that took effect before the table went down": {func(w *fixture) {
			w.injectFaults(faultReplyLost, faultDown)
			w.expectRefusal(w.a, nil, bergamotrequest.ReasonTable, runNo)
			gomega.Expect(w.state()).To(gomega.Equal(bergamotclaim.StateClaimed))
			w.expectRefusal(w.b, nil, bergamotrequest.ReasonProgress, runUnknown)
			gomega.Expect(w.a.WriteNext(ctx)).To(gomega.BeTrue())
			w.claim(w.b)
		}},
		"reuse its own claim that was never dispatched": {func(w *fixture) {
			w.injectFaults(faultReplyLost, faultDown)
			w.expectRefusal(w.a, nil, bergamotrequest.ReasonTable, runNo)
			claim := w.claim(w.a)
			gomega.Expect(w.a.WriteNext(ctx)).To(gomega.BeTrue()) // the queued release must not free the new claim
			gomega.Expect(w.state()).To(gomega.Equal(bergamotclaim.StateClaimed))
			claim.Done(ctx, answer("B1"))
			w.expectReplay(w.b, "B1")
		}},
		"not free a later claim with a queued release": {func(w *fixture) {
			claim := w.claim(w.a)
			w.injectFaults(faultDown, faultDown)
			claim.Release(ctx)
			w.claim(w.a)
			gomega.Expect(w.a.WriteNext(ctx)).To(gomega.BeTrue())
			w.expectRefusal(w.b, nil, bergamotrequest.ReasonProgress, runUnknown)
		}},
		"release a claim when the deadline passed during its write": {func(w *fixture) {
			w.beforeOperation = func(context.Context, string) { w.clock.Advance(2 * callTimeout) }
			w.expectRefusal(w.a, nil, bergamotrequest.ReasonDeadline, runNo)
			w.beforeOperation = func(context.Context, string) {}
			gomega.Expect(w.state()).To(gomega.Equal(bergamotclaim.StateFree))
			w.claim(w.b)
		}},
		"release a claim when its reply was lost and the deadline passed": {func(w *fixture) {
			w.injectFaults(faultReplyLost)
			w.beforeOperation = func(context.Context, string) { w.clock.Advance(2 * callTimeout) }
			w.expectRefusal(w.a, nil, bergamotrequest.ReasonDeadline, runNo)
			gomega.Expect(w.state()).To(gomega.Equal(bergamotclaim.StateFree))
		}},
		"keep the answer while the table is down": {func(w *fixture) {
			claim := w.claim(w.a)
			w.injectFaults(faultDown, faultDown)
			claim.Done(ctx, answer("B1"))
			w.expectReplay(w.a, "B1")
			w.expectRefusal(w.b, nil, bergamotrequest.ReasonProgress, runUnknown)
			gomega.Expect(w.a.WriteNext(ctx)).To(gomega.BeTrue())
			w.expectReplay(w.b, "B1")
		}},
		"write a conclusion once when its first write is delayed": {func(w *fixture) {
			claim := w.claim(w.a)
			w.injectFaults(faultDelayed)
			claim.Done(ctx, answer("B1"))
			w.store.Deliver()
			gomega.Expect(w.store.Writes()).To(gomega.Equal(2))
			w.expectReplay(w.b, "B1")
		}},
		"store a large answer before the conclusion": {func(w *fixture) {
			claim := w.claim(w.a)
			w.store.ClearJournal()
			claim.Done(ctx, answer(strings.Repeat("x", maxInlineBytes+1)))
			gomega.Expect(w.store.Journal()).To(gomega.Equal([]string{"put", "swap"}))
			w.expectReplay(w.b, strings.Repeat("x", maxInlineBytes+1))
		}},
		"store an answer as an object when the table rejects the row": {func(w *fixture) {
			claim := w.claim(w.a)
			w.injectFaults(faultRejected)
			claim.Done(ctx, answer("B1"))
			gomega.Expect(w.store.Objects()).To(gomega.HaveLen(1))
			w.expectReplay(w.b, "B1")
		}},
		"not conclude the call while the object store is down": {func(w *fixture) {
			claim := w.claim(w.a)
			w.injectFaults(faultDown)
			claim.Done(ctx, answer(strings.Repeat("x", maxInlineBytes+1)))
			gomega.Expect(w.state()).To(gomega.Equal(bergamotclaim.StateClaimed))
			w.expectReplay(w.a, strings.Repeat("x", maxInlineBytes+1))
			gomega.Expect(w.a.WriteNext(ctx)).To(gomega.BeTrue())
			w.expectReplay(w.b, strings.Repeat("x", maxInlineBytes+1))
		}},
		"report that the call ran when its object cannot be read": {func(w *fixture) {
			w.claim(w.a).Done(ctx, answer(strings.Repeat("x", maxInlineBytes+1)))
			w.injectFaults(faultOK, faultDown)
			w.expectRefusal(w.b, nil, bergamotrequest.ReasonObject, runYes)
		}},
		"refuse when the object is damaged": {func(w *fixture) {
			w.claim(w.a).Done(ctx, answer(strings.Repeat("x", maxInlineBytes+1)))
			for name := range w.store.Objects() {
				w.store.SetObject(name, []byte("y"))
			}
			w.expectRefusal(w.b, nil, bergamotrequest.ReasonObject, runYes)
		}},
		"report a claimed call as in progress, and later as unknown": {func(w *fixture) {
			w.claim(w.a)
			_, _, refusal := w.begin(w.b, nil)
			gomega.Expect(refusal.Reason()).To(gomega.Equal(bergamotrequest.ReasonProgress))
			gomega.Expect(refusal.RetryAfter()).To(gomega.BeNumerically(">", time.Duration(0)))
			w.clock.Advance(callTimeout + margin - 1)
			w.expectRefusal(w.b, nil, bergamotrequest.ReasonProgress, runUnknown)
			w.clock.Advance(1)
			w.expectRefusal(w.b, nil, bergamotrequest.ReasonUnknown, runUnknown)
		}},
		"accept from the service that the call of a dead entry ran": {func(w *fixture) {
			w.claim(w.a)
			w.expectRefusal(w.b, serviceReports(true), bergamotrequest.ReasonProgress, runUnknown)
			w.clock.Advance(callTimeout + margin)
			w.expectRefusal(w.b, serviceReports(true), bergamotrequest.ReasonUnknown, runYes)
			w.expectRefusal(w.a, nil, bergamotrequest.ReasonUnknown, runYes)
		}},
		"let a slow entry replace the reply of the service with the answer": {func(w *fixture) {
			claim := w.claim(w.a)
			w.expectRefusal(w.b, serviceReports(true), bergamotrequest.ReasonProgress, runUnknown)
			w.clock.Advance(callTimeout + margin)
			w.expectRefusal(w.b, serviceReports(true), bergamotrequest.ReasonUnknown, runYes)
			claim.Done(ctx, answer("B1"))
			w.expectReplay(w.b, "B1")
		}},
		// A paused entry can dispatch the call after the service reported that it had not run.
		"not free the claim of another entry when the service reports that the call did not run": {func(w *fixture) {
			claim := w.claim(w.a)
			w.expectRefusal(w.b, serviceReports(false), bergamotrequest.ReasonProgress, runUnknown)
			w.clock.Advance(callTimeout + margin)
			w.expectRefusal(w.b, serviceReports(false), bergamotrequest.ReasonUnknown, runUnknown)
			gomega.Expect(w.state()).To(gomega.Equal(bergamotclaim.StateClaimed))
			claim.Done(ctx, answer("B1"))
			w.expectReplay(w.b, "B1")
		}},
		"keep an unknown outcome until the service reports that the call ran": {func(w *fixture) {
			w.claim(w.a).Unknown(ctx)
			w.expectRefusal(w.b, nil, bergamotrequest.ReasonUnknown, runUnknown)
			w.expectRefusal(w.b, serviceReports(false), bergamotrequest.ReasonUnknown, runUnknown)
			w.expectRefusal(w.b, serviceReports(true), bergamotrequest.ReasonUnknown, runYes)
			gomega.Expect(w.state()).To(gomega.Equal(bergamotclaim.StateRan))
		}},
		"refuse when the row cannot be decoded": {func(w *fixture) {
			w.claim(w.a)
			key := bergamotclaim.RowKey("kitchen", "k")
			_, _, err := w.store.CompareAndSet(ctx, key, w.store.Row(key).Revision(), []byte(`{"state":"open"}`))
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			w.expectRefusal(w.b, nil, bergamotrequest.ReasonInternal, runUnknown)
		}},
		"write small answers while a large one waits for the object store": {func(w *fixture) {
			first := w.claim(w.a)
			w.injectFaults(faultDown)
			first.Done(ctx, answer(strings.Repeat("x", maxInlineBytes+1)))
			call := bergamotclaim.NewCall("kitchen", newRequest("r", "other", "slot"), w.clock.Now().Add(callTimeout))
			second, _, _ := w.a.Begin(ctx, call, nil)
			w.injectFaults(faultDown, faultDown)
			second.Done(ctx, answer("B2"))
			w.injectFaults(faultDown)
			gomega.Expect(w.a.WriteNext(ctx)).To(gomega.BeFalse())
			gomega.Expect(w.a.WriteNext(ctx)).To(gomega.BeTrue())
			gomega.Expect(w.a.Pending()).To(gomega.Equal(1))
			_, reply, refusal := w.b.Begin(ctx, call, nil)
			gomega.Expect(refusal).NotTo(gomega.HaveOccurred())
			gomega.Expect(string(reply.Body())).To(gomega.Equal("B2"))
		}},
	}, func(c struct{ run func(w *fixture) }) { c.run(newFixture()) })

	// Guards against an idempotency key that is accepted with another request, during or after its first use.
	bergamottest.Cases(map[string]struct{ end func(*bergamotclaim.Claim) }{
		"refuse other content while the call is claimed": {func(*bergamotclaim.Claim) {}},
		"refuse other content after an answer":           {func(c *bergamotclaim.Claim) { c.Done(ctx, answer("B1")) }},
		"refuse other content after an unknown outcome":  {func(c *bergamotclaim.Claim) { c.Unknown(ctx) }},
		"refuse other content after a released claim":    {func(c *bergamotclaim.Claim) { c.Release(ctx) }},
	}, func(c struct{ end func(*bergamotclaim.Claim) }) {
		w := newFixture()
		c.end(w.claim(w.a))
		_, _, refusal := w.beginBody(w.b, "other slot", nil)
		bergamottest.ExpectRefusal(refusal, bergamotrequest.ReasonDigest, runNo)
	})
})
