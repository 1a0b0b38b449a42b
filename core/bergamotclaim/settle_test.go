package bergamotclaim_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotclaim"
	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamottest"
)

// openCalls returns the calls without an outcome.
func (w *fixture) openCalls() (out []bergamotclaim.OpenCall) {
	gomega.Expect(bergamotclaim.WalkOpenCalls(ctx, w.store, func(e bergamotclaim.OpenCall) { out = append(out, e) })).To(gomega.Succeed())
	return out
}

// settle settles the call "k" with the attempt of the only open call, if there is one, after change has edited the
// settlement.
func (w *fixture) settle(change func(*bergamotclaim.Settlement)) error {
	s := bergamotclaim.Settlement{Workspace: "kitchen", Key: "k", Operator: "mari"}
	if openCalls := w.openCalls(); len(openCalls) == 1 {
		s.Attempt = openCalls[0].Record().Attempt()
	}
	change(&s)
	return w.b.Settle(ctx, s)
}

func asRan(s *bergamotclaim.Settlement) { s.Ran = true }

func asNotRun(*bergamotclaim.Settlement) {}

func asNotRunAfterEnd(s *bergamotclaim.Settlement) { s.Ended = true }

var _ = ginkgo.Describe("Settle", func() {
	// Guards against a settlement that lets a call run twice, overwrites an outcome, or applies to another attempt than
	// the operator investigated.
	bergamottest.Cases(map[string]struct{ run func(w *fixture) }{
		"lists only calls without an outcome": {func(w *fixture) {
			w.claim(w.a).Done(ctx, answer("B1"))
			gomega.Expect(w.openCalls()).To(gomega.BeEmpty())
		}},
		"settles an unknown outcome as ran": {func(w *fixture) {
			w.claim(w.a).Unknown(ctx)
			gomega.Expect(w.openCalls()[0].Workspace() + " " + w.openCalls()[0].Key()).To(gomega.Equal("kitchen k"))
			gomega.Expect(w.settle(asRan)).To(gomega.Succeed())
			w.expectRefusal(w.a, nil, bergamotrequest.ReasonUnknown, runYes)
		}},
		"settles an unknown outcome as not run": {func(w *fixture) {
			w.claim(w.a).Unknown(ctx)
			gomega.Expect(w.settle(asNotRun)).To(gomega.Succeed())
			w.claim(w.a)
		}},
		"recognises its own settlement whose reply was lost": {func(w *fixture) {
			w.claim(w.a).Unknown(ctx)
			w.injectFaults(faultOK, faultOK, faultReplyLost) // list, read, write
			gomega.Expect(w.settle(asRan)).To(gomega.Succeed())
		}},
		"succeeds when it is repeated": {func(w *fixture) {
			w.claim(w.a).Unknown(ctx)
			attempt := w.openCalls()[0].Record().Attempt()
			again := func(s *bergamotclaim.Settlement) { s.Ran, s.Attempt = true, attempt }
			gomega.Expect(w.settle(again)).To(gomega.Succeed())
			gomega.Expect(w.settle(again)).To(gomega.Succeed())
		}},
		"rejects a claimed call as not run while its process may dispatch": {func(w *fixture) {
			w.claim(w.a)
			gomega.Expect(w.settle(asNotRun)).NotTo(gomega.Succeed())
			gomega.Expect(w.settle(asNotRunAfterEnd)).To(gomega.Succeed())
			w.claim(w.b)
		}},
		"rejects an attempt other than the current one": {func(w *fixture) {
			w.claim(w.a).Unknown(ctx)
			gomega.Expect(w.settle(func(s *bergamotclaim.Settlement) { s.Attempt = "a-9" })).NotTo(gomega.Succeed())
		}},
		"rejects a call that has an answer": {func(w *fixture) {
			claim := w.claim(w.a)
			attempt := w.openCalls()[0].Record().Attempt()
			claim.Done(ctx, answer("B1"))
			gomega.Expect(w.settle(func(s *bergamotclaim.Settlement) { s.Ran, s.Attempt = false, attempt })).NotTo(gomega.Succeed())
			w.expectReplay(w.b, "B1")
		}},
		"rejects a call that does not exist": {func(w *fixture) {
			gomega.Expect(w.settle(asRan)).NotTo(gomega.Succeed())
		}},
		"reports that a write is not confirmed": {func(w *fixture) {
			w.claim(w.a).Unknown(ctx)
			w.injectFaults(faultOK, faultOK, faultDown, faultDown) // list, read, write, read back
			gomega.Expect(w.settle(asRan)).To(gomega.MatchError(gomega.ContainSubstring("did not confirm")))
		}},
	}, func(c struct{ run func(w *fixture) }) { c.run(newFixture()) })
})
