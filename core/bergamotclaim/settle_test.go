package bergamotclaim_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotclaim"
	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamottest"
)

// open returns the calls without an outcome.
func (w *world) open() (out []bergamotclaim.Entry) {
	gomega.Expect(bergamotclaim.Open(ctx, w.store, func(e bergamotclaim.Entry) { out = append(out, e) })).To(gomega.Succeed())
	return out
}

// settle settles the only open call.
func (w *world) settle(change func(*bergamotclaim.Settlement)) error {
	s := bergamotclaim.Settlement{Workspace: "kitchen", Key: "k", Operator: "mari"}
	if open := w.open(); len(open) == 1 {
		s.Attempt = open[0].Record().Attempt()
	}
	change(&s)
	return w.b.Settle(ctx, s)
}

func asRan(s *bergamotclaim.Settlement) { s.Ran = true }

func asNotRun(*bergamotclaim.Settlement) {}

func asNotRunAfterEnd(s *bergamotclaim.Settlement) { s.Ended = true }

var _ = ginkgo.Describe("Settle", func() {
	// Guards against a settlement that lets a call run twice, overwrites an outcome, or hits another attempt than the one
	// that the operator looked into.
	bergamottest.Cases(map[string]struct{ run func(w *world) }{
		"lists nothing but calls without an outcome": {func(w *world) {
			w.claim(w.a).Done(ctx, answer("B1"))
			gomega.Expect(w.open()).To(gomega.BeEmpty())
		}},
		"settles an unknown outcome as ran": {func(w *world) {
			w.claim(w.a).Unknown(ctx)
			gomega.Expect(w.open()[0].Workspace() + " " + w.open()[0].Key()).To(gomega.Equal("kitchen k"))
			gomega.Expect(w.settle(asRan)).To(gomega.Succeed())
			w.refused(w.a, nil, bergamotrequest.ReasonUnknown, runYes)
		}},
		"settles an unknown outcome as not run": {func(w *world) {
			w.claim(w.a).Unknown(ctx)
			gomega.Expect(w.settle(asNotRun)).To(gomega.Succeed())
			w.claim(w.a)
		}},
		"recognises its own settlement whose reply was lost": {func(w *world) {
			w.claim(w.a).Unknown(ctx)
			w.fail(faultOK, faultOK, faultLost) // list, read, write
			gomega.Expect(w.settle(asRan)).To(gomega.Succeed())
		}},
		"succeeds when it is repeated": {func(w *world) {
			w.claim(w.a).Unknown(ctx)
			attempt := w.open()[0].Record().Attempt()
			again := func(s *bergamotclaim.Settlement) { s.Ran, s.Attempt = true, attempt }
			gomega.Expect(w.settle(again)).To(gomega.Succeed())
			gomega.Expect(w.settle(again)).To(gomega.Succeed())
		}},
		"rejects a claimed call as not run while its process may dispatch": {func(w *world) {
			w.claim(w.a)
			gomega.Expect(w.settle(asNotRun)).NotTo(gomega.Succeed())
			gomega.Expect(w.settle(asNotRunAfterEnd)).To(gomega.Succeed())
			w.claim(w.b)
		}},
		"rejects another attempt than the current one": {func(w *world) {
			w.claim(w.a).Unknown(ctx)
			gomega.Expect(w.settle(func(s *bergamotclaim.Settlement) { s.Attempt = "a-9" })).NotTo(gomega.Succeed())
		}},
		"rejects a call that has an answer": {func(w *world) {
			claim := w.claim(w.a)
			attempt := w.open()[0].Record().Attempt()
			claim.Done(ctx, answer("B1"))
			gomega.Expect(w.settle(func(s *bergamotclaim.Settlement) { s.Ran, s.Attempt = false, attempt })).NotTo(gomega.Succeed())
			w.replayed(w.b, "B1")
		}},
		"rejects a call that does not exist": {func(w *world) {
			gomega.Expect(w.settle(asRan)).NotTo(gomega.Succeed())
		}},
		"tells that a write is not confirmed": {func(w *world) {
			w.claim(w.a).Unknown(ctx)
			w.fail(faultOK, faultOK, faultDown, faultDown) // list, read, write, read back
			gomega.Expect(w.settle(asRan)).To(gomega.MatchError(gomega.ContainSubstring("did not confirm")))
		}},
	}, func(c struct{ run func(w *world) }) { c.run(newWorld()) })
})
