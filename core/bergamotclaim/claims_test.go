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

func saying(ran bool) bergamotclaim.Ask {
	return func(context.Context) (bool, error) { return ran, nil }
}

var _ = ginkgo.Describe("Claims", func() {
	// Guards against a further table write in any way a call can end.
	bergamottest.Cases(map[string]struct{ end func(*bergamotclaim.Claim) }{
		"write twice for an answer":          {func(c *bergamotclaim.Claim) { c.Done(ctx, answer("B1")) }},
		"write twice for a large answer":     {func(c *bergamotclaim.Claim) { c.Done(ctx, answer(strings.Repeat("x", limit+1))) }},
		"write twice for an unknown outcome": {func(c *bergamotclaim.Claim) { c.Unknown(ctx) }},
		"write twice for a release":          {func(c *bergamotclaim.Claim) { c.Release(ctx) }},
	}, func(c struct{ end func(*bergamotclaim.Claim) }) {
		w := newWorld()
		c.end(w.claim(w.a))
		gomega.Expect(w.store.Calls(bergamotmemory.Swap)).To(gomega.Equal(2))
		gomega.Expect(w.store.Calls(bergamotmemory.Read)).To(gomega.BeZero())
	})

	// Each case is a fault of the table or the object store between two entries. The run state told to a caller
	// must be true, and a repeat must not run the call a second time.
	bergamottest.Cases(map[string]struct{ run func(w *world) }{
		"recognise an own claim whose reply was lost": {func(w *world) {
			w.fail(faultLost)
			w.claim(w.a).Done(ctx, answer("B1"))
			gomega.Expect(w.store.Calls(bergamotmemory.Swap)).To(gomega.Equal(2))
			w.replayed(w.b, "B1")
		}},
		"recognise an own claim that took effect after the read": {func(w *world) {
			w.fail(faultLate)
			w.onOp = func(_ context.Context, op string) {
				if op == "swap" {
					w.store.Deliver() // the first copy arrives just before the second
				}
			}
			w.claim(w.a)
			gomega.Expect(w.store.Writes()).To(gomega.Equal(1))
			w.refused(w.b, nil, bergamotrequest.ReasonProgress, runUnknown)
		}},
		"recognise an own conclusion whose reply was lost": {func(w *world) {
			claim := w.claim(w.a)
			w.fail(faultLost)
			claim.Done(ctx, answer("B1"))
			gomega.Expect(w.store.Calls(bergamotmemory.Swap)).To(gomega.Equal(2))
			gomega.Expect(w.a.Waiting()).To(gomega.BeZero())
			w.replayed(w.b, "B1")
		}},
		"recognise an own release whose reply was lost": {func(w *world) {
			claim := w.claim(w.a)
			w.fail(faultLost)
			claim.Release(ctx)
			gomega.Expect(w.store.Calls(bergamotmemory.Swap)).To(gomega.Equal(2))
			w.claim(w.b)
		}},
		"refuse without a run when the table is down": {func(w *world) {
			w.fail(faultDown, faultDown)
			w.refused(w.a, nil, bergamotrequest.ReasonTable, runNo)
			w.claim(w.b)
		}},
		"refuse without a run when the table rejects the claim": {func(w *world) {
			w.fail(faultReject)
			w.refused(w.a, nil, bergamotrequest.ReasonTable, runNo)
			gomega.Expect(w.a.Waiting()).To(gomega.BeZero())
		}},
		"free a claim that took effect before the table went down": {func(w *world) {
			w.fail(faultLost, faultDown)
			w.refused(w.a, nil, bergamotrequest.ReasonTable, runNo)
			gomega.Expect(w.state()).To(gomega.Equal(bergamotclaim.StateClaimed))
			w.refused(w.b, nil, bergamotrequest.ReasonProgress, runUnknown)
			gomega.Expect(w.a.Step(ctx)).To(gomega.BeTrue())
			w.claim(w.b)
		}},
		"take over an own claim that was never dispatched": {func(w *world) {
			w.fail(faultLost, faultDown)
			w.refused(w.a, nil, bergamotrequest.ReasonTable, runNo)
			claim := w.claim(w.a)
			gomega.Expect(w.a.Step(ctx)).To(gomega.BeTrue()) // the queued release must not free the new claim
			gomega.Expect(w.state()).To(gomega.Equal(bergamotclaim.StateClaimed))
			claim.Done(ctx, answer("B1"))
			w.replayed(w.b, "B1")
		}},
		"not free a later claim by a release that was written late": {func(w *world) {
			claim := w.claim(w.a)
			w.fail(faultDown, faultDown)
			claim.Release(ctx)
			w.claim(w.a)
			gomega.Expect(w.a.Step(ctx)).To(gomega.BeTrue())
			w.refused(w.b, nil, bergamotrequest.ReasonProgress, runUnknown)
		}},
		"release a claim during whose write the deadline passed": {func(w *world) {
			w.onOp = func(context.Context, string) { w.clock.Advance(2 * granted) }
			w.refused(w.a, nil, bergamotrequest.ReasonDeadline, runNo)
			w.onOp = func(context.Context, string) {}
			gomega.Expect(w.state()).To(gomega.Equal(bergamotclaim.StateFree))
			w.claim(w.b)
		}},
		"release a claim whose reply was lost when the deadline passed": {func(w *world) {
			w.fail(faultLost)
			w.onOp = func(context.Context, string) { w.clock.Advance(2 * granted) }
			w.refused(w.a, nil, bergamotrequest.ReasonDeadline, runNo)
			gomega.Expect(w.state()).To(gomega.Equal(bergamotclaim.StateFree))
		}},
		"keep the answer while the table is down": {func(w *world) {
			claim := w.claim(w.a)
			w.fail(faultDown, faultDown)
			claim.Done(ctx, answer("B1"))
			w.replayed(w.a, "B1")
			w.refused(w.b, nil, bergamotrequest.ReasonProgress, runUnknown)
			gomega.Expect(w.a.Step(ctx)).To(gomega.BeTrue())
			w.replayed(w.b, "B1")
		}},
		"write a conclusion once when its first copy arrives late": {func(w *world) {
			claim := w.claim(w.a)
			w.fail(faultLate)
			claim.Done(ctx, answer("B1"))
			w.store.Deliver()
			gomega.Expect(w.store.Writes()).To(gomega.Equal(2))
			w.replayed(w.b, "B1")
		}},
		"store a large answer before the conclusion": {func(w *world) {
			claim := w.claim(w.a)
			w.store.ClearJournal()
			claim.Done(ctx, answer(strings.Repeat("x", limit+1)))
			gomega.Expect(w.store.Journal()).To(gomega.Equal([]string{"put", "swap"}))
			w.replayed(w.b, strings.Repeat("x", limit+1))
		}},
		"store an answer as an object when the table finds it too large": {func(w *world) {
			claim := w.claim(w.a)
			w.fail(faultReject)
			claim.Done(ctx, answer("B1"))
			gomega.Expect(w.store.Objects()).To(gomega.HaveLen(1))
			w.replayed(w.b, "B1")
		}},
		"conclude nothing while the object store is down": {func(w *world) {
			claim := w.claim(w.a)
			w.fail(faultDown)
			claim.Done(ctx, answer(strings.Repeat("x", limit+1)))
			gomega.Expect(w.state()).To(gomega.Equal(bergamotclaim.StateClaimed))
			w.replayed(w.a, strings.Repeat("x", limit+1))
			gomega.Expect(w.a.Step(ctx)).To(gomega.BeTrue())
			w.replayed(w.b, strings.Repeat("x", limit+1))
		}},
		"tell that a call ran whose object cannot be read": {func(w *world) {
			w.claim(w.a).Done(ctx, answer(strings.Repeat("x", limit+1)))
			w.fail(faultOK, faultDown)
			w.refused(w.b, nil, bergamotrequest.ReasonObject, runYes)
		}},
		"refuse an object that was damaged": {func(w *world) {
			w.claim(w.a).Done(ctx, answer(strings.Repeat("x", limit+1)))
			for name := range w.store.Objects() {
				w.store.SetObject(name, []byte("y"))
			}
			w.refused(w.b, nil, bergamotrequest.ReasonObject, runYes)
		}},
		"tell that a claimed call is in progress, and later that its outcome is unknown": {func(w *world) {
			w.claim(w.a)
			_, _, refusal := w.begin(w.b, nil)
			gomega.Expect(refusal.Reason()).To(gomega.Equal(bergamotrequest.ReasonProgress))
			gomega.Expect(refusal.RetryAfter()).To(gomega.BeNumerically(">", time.Duration(0)))
			w.clock.Advance(granted + margin - 1)
			w.refused(w.b, nil, bergamotrequest.ReasonProgress, runUnknown)
			w.clock.Advance(1)
			w.refused(w.b, nil, bergamotrequest.ReasonUnknown, runUnknown)
		}},
		"believe a service that the call of a dead entry ran": {func(w *world) {
			w.claim(w.a)
			w.refused(w.b, saying(true), bergamotrequest.ReasonProgress, runUnknown)
			w.clock.Advance(granted + margin)
			w.refused(w.b, saying(true), bergamotrequest.ReasonUnknown, runYes)
			w.refused(w.a, nil, bergamotrequest.ReasonUnknown, runYes)
		}},
		"let a late entry replace the word of the service by the answer": {func(w *world) {
			claim := w.claim(w.a)
			w.refused(w.b, saying(true), bergamotrequest.ReasonProgress, runUnknown)
			w.clock.Advance(granted + margin)
			w.refused(w.b, saying(true), bergamotrequest.ReasonUnknown, runYes)
			claim.Done(ctx, answer("B1"))
			w.replayed(w.b, "B1")
		}},
		// A paused entry can dispatch after the service said that the call did not run.
		"not free the call of another entry on the word of the service": {func(w *world) {
			claim := w.claim(w.a)
			w.refused(w.b, saying(false), bergamotrequest.ReasonProgress, runUnknown)
			w.clock.Advance(granted + margin)
			w.refused(w.b, saying(false), bergamotrequest.ReasonUnknown, runUnknown)
			gomega.Expect(w.state()).To(gomega.Equal(bergamotclaim.StateClaimed))
			claim.Done(ctx, answer("B1"))
			w.replayed(w.b, "B1")
		}},
		"keep an unknown outcome until the service says that the call ran": {func(w *world) {
			w.claim(w.a).Unknown(ctx)
			w.refused(w.b, nil, bergamotrequest.ReasonUnknown, runUnknown)
			w.refused(w.b, saying(false), bergamotrequest.ReasonUnknown, runUnknown)
			w.refused(w.b, saying(true), bergamotrequest.ReasonUnknown, runYes)
			gomega.Expect(w.state()).To(gomega.Equal(bergamotclaim.StateRan))
		}},
		"refuse a row that cannot be read as a record": {func(w *world) {
			w.claim(w.a)
			key := bergamotclaim.RowKey("kitchen", "k")
			_, _, err := w.store.CompareAndSet(ctx, key, w.store.Row(key).Revision(), []byte(`{"state":"open"}`))
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			w.refused(w.b, nil, bergamotrequest.ReasonInternal, runUnknown)
		}},
		"write small answers while a large one waits for the object store": {func(w *world) {
			first := w.claim(w.a)
			w.fail(faultDown)
			first.Done(ctx, answer(strings.Repeat("x", limit+1)))
			call := bergamotclaim.NewCall("kitchen", newRequest("r", "other", "slot"), w.clock.Now().Add(granted))
			second, _, _ := w.a.Begin(ctx, call, nil)
			w.fail(faultDown, faultDown)
			second.Done(ctx, answer("B2"))
			w.fail(faultDown)
			gomega.Expect(w.a.Step(ctx)).To(gomega.BeFalse())
			gomega.Expect(w.a.Step(ctx)).To(gomega.BeTrue())
			gomega.Expect(w.a.Waiting()).To(gomega.Equal(1))
			_, reply, refusal := w.b.Begin(ctx, call, nil)
			gomega.Expect(refusal).NotTo(gomega.HaveOccurred())
			gomega.Expect(string(reply.Body())).To(gomega.Equal("B2"))
		}},
	}, func(c struct{ run func(w *world) }) { c.run(newWorld()) })

	// Guards against a key that another request could reuse while or after it is in use.
	bergamottest.Cases(map[string]struct{ end func(*bergamotclaim.Claim) }{
		"refuse other content while claimed":          {func(*bergamotclaim.Claim) {}},
		"refuse other content after an answer":        {func(c *bergamotclaim.Claim) { c.Done(ctx, answer("B1")) }},
		"refuse other content of an unknown outcome":  {func(c *bergamotclaim.Claim) { c.Unknown(ctx) }},
		"refuse other content after a released claim": {func(c *bergamotclaim.Claim) { c.Release(ctx) }},
	}, func(c struct{ end func(*bergamotclaim.Claim) }) {
		w := newWorld()
		c.end(w.claim(w.a))
		_, _, refusal := w.beginBody(w.b, "other slot", nil)
		bergamottest.ExpectRefusal(refusal, bergamotrequest.ReasonDigest, runNo)
	})
})
