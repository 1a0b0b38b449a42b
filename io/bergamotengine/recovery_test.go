package bergamotengine_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamottest"
	"bergamotspur/io/bergamotfake"
)

// at returns a hook that calls f once at a position and then gives the action.
func at(position int, action bergamotfake.Action, f func()) bergamotfake.Hook {
	done := false
	return func(e bergamotfake.Entry) bergamotfake.Action {
		if done || e.Position < position {
			return bergamotfake.ActionRun
		}
		done = true
		f()
		return action
	}
}

type importCase struct {
	cheap   bool
	imports bool
}

type blameCase struct {
	failure string
	run     bergamotrequest.RunState
	refused bool
	leaving bool
}

var _ = ginkgo.Describe("recovery", func() {
	// Guards against blaming a target for a connection whose state was lost: there is no other path.
	ginkgo.It("replaces a silent connection and keeps the target", func() {
		r := newRig(1)
		defer r.close()
		e := r.engines["c00"]
		e.SetHook(at(6, bergamotfake.ActionRun, e.FreezeStreams))
		gomega.Expect(r.check("request", "oil for oak")).To(gomega.Succeed())
		gomega.Expect(r.metrics.Value("recovery.reconnect")).To(gomega.BeNumerically(">=", 1))
		gomega.Expect(r.metrics.Value("retry.stall") + r.metrics.Value("retry.target")).To(gomega.BeZero())
	})

	// Guards against recomputing what live stages still hold; the recomputing case shows that the estimate decides.
	bergamottest.Cases(map[string]importCase{
		"imports KV cache when that is faster": {imports: true},
		"recomputes when that is faster":       {cheap: true},
	}, func(c importCase) {
		r := newRig(2)
		defer r.close()
		if c.cheap {
			r.session.Estimate = slowLink
		}
		// A lost step names no culprit, so that the next attempt runs on other instances.
		r.engines["b00"].SetHook(at(6, bergamotfake.ActionLose, func() {}))
		gomega.Expect(r.check("request", "wax for oak")).To(gomega.Succeed())
		imports := 0
		for _, e := range r.engines {
			imports += e.Imports()
		}
		gomega.Expect(imports > 0).To(gomega.Equal(c.imports))
	})

	// Guards against a retry that knows only the fleet of the time when the request arrived.
	ginkgo.It("uses instances that joined after the request arrived", func() {
		r := newRig(2)
		defer r.close()
		all := r.View()
		r.limit("a00", "b00", "c00")
		r.engines["b00"].SetHook(at(6, bergamotfake.ActionDie, func() { r.fleet.Store(all) }))
		gomega.Expect(r.check("request", "oil for oak")).To(gomega.Succeed())
	})

	// Guards against "not run" for a request of which an engine ran a step, and against a normal end of an
	// answer that is not whole: there is no second path.
	bergamottest.Cases(map[string]blameCase{
		"reports not run when the layers are gone":         {failure: "holds other layers than reported"},
		"reports not run when the target is leaving":       {failure: "is leaving", leaving: true},
		"reports not run when the target refuses":          {failure: "refuses connections", refused: true},
		"reports not run when the target does not reply":   {failure: "does not reply"},
		"reports run after a crash mid-answer":             {failure: "dies mid-answer", run: bergamotrequest.RunYes, refused: true},
		"reports run after a token for another session":    {failure: "answers for another session", run: bergamotrequest.RunYes},
		"reports run after a step that was applied twice":  {failure: "runs a step twice", run: bergamotrequest.RunYes},
		"reports run after a step that got lost":           {failure: "loses a step", run: bergamotrequest.RunYes},
		"reports run when the last stage hangs mid-answer": {failure: "hangs with heartbeat", run: bergamotrequest.RunYes},
	}, func(c blameCase) {
		r := newRig(1)
		defer r.close()
		r.session.Attempts = 1
		hooks := map[string][]bergamotfake.Hook{}
		failures[c.failure].arm(r, hooks, 'c', 6)
		for name, list := range hooks {
			r.engines[name].SetHook(list[0])
		}
		text, err := r.ask(r.session, r.suspects, "request", "oil for oak")
		gomega.Expect(err).To(gomega.HaveOccurred())
		gomega.Expect(bergamotrequest.AsRefusal(err).RunState()).To(gomega.Equal(c.run))
		gomega.Expect(r.ran("request")).To(gomega.Equal(c.run == bergamotrequest.RunYes))
		gomega.Expect(bergamotfake.Reference("oil for oak", 7, rigLayers, rigTokens)).To(gomega.HavePrefix(text))
		gomega.Expect(len(r.refused) > 0).To(gomega.Equal(c.refused))
		gomega.Expect(len(r.leaving) > 0).To(gomega.Equal(c.leaving))
	})

	// Guards against "not run" when only the reply to the start got lost.
	ginkgo.It("reports unknown when the start took effect and its reply was lost", func() {
		r := newRig(1)
		defer r.close()
		r.session.Attempts = 1
		r.engines["a00"].Faults.LoseReplies("/span/start", 10)
		_, err := r.ask(r.session, r.suspects, "request", "oil for oak")
		gomega.Expect(err).To(gomega.HaveOccurred())
		gomega.Expect(bergamotrequest.AsRefusal(err).RunState()).To(gomega.Equal(bergamotrequest.RunUnknown))
	})
})
