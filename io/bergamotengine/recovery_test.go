package bergamotengine_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamottest"
	"bergamotspur/io/bergamotfake"
)

// onceAt returns a hook that at the first step at or after a position calls f and returns the action.
func onceAt(position int, action bergamotfake.Action, f func()) bergamotfake.Hook {
	done := false
	return func(e bergamotfake.StepRecord) bergamotfake.Action {
		if done || e.Position < position {
			return bergamotfake.ActionRun
		}
		done = true
		f()
		return action
	}
}

type importCase struct {
	slowImports bool
	imports     bool
}

type runStateCase struct {
	failure string
	run     bergamotrequest.RunState
	refused bool // an instance is reported as refusing connections
	leaving bool // an instance is reported as leaving
}

var _ = ginkgo.Describe("recovery", func() {
	// Guards against excluding a target when only the state of its connection was lost. There is no other path.
	ginkgo.It("replaces a silent connection and keeps the target", func() {
		h := newHarness(1)
		defer h.close()
		e := h.engines["c00"]
		e.SetHook(onceAt(6, bergamotfake.ActionRun, func() {
			h.waitForDelivery() // a freeze before the stream is open has no effect
			e.FreezeStreams()
		}))
		gomega.Expect(h.checkAnswer("request", "oil for oak")).To(gomega.Succeed())
		gomega.Expect(h.metrics.Value("recovery.reconnect")).To(gomega.BeNumerically(">=", 1))
		gomega.Expect(h.metrics.Value("retry.stall") + h.metrics.Value("retry.target")).To(gomega.BeZero())
	})

	// Guards against recomputing KV cache that live stages still hold when the estimate says that an import is faster.
	bergamottest.Cases(map[string]importCase{
		"imports KV cache when that is faster": {imports: true},
		"recomputes when that is faster":       {slowImports: true},
	}, func(c importCase) {
		h := newHarness(2)
		defer h.close()
		if c.slowImports {
			h.session.Estimate = slowImportEstimate
		}
		// A lost step does not show which instance failed, so the next attempt runs on other instances.
		h.engines["b00"].SetHook(onceAt(6, bergamotfake.ActionDropResult, func() {}))
		gomega.Expect(h.checkAnswer("request", "wax for oak")).To(gomega.Succeed())
		imports := 0
		for _, e := range h.engines {
			imports += e.Imports()
		}
		gomega.Expect(imports > 0).To(gomega.Equal(c.imports))
	})

	// Guards against a retry that uses the view from the arrival of the request.
	ginkgo.It("uses instances that joined after the request arrived", func() {
		h := newHarness(2)
		defer h.close()
		all := h.View()
		h.publishOnly("a00", "b00", "c00")
		h.engines["b00"].SetHook(onceAt(6, bergamotfake.ActionCrash, func() { h.view.Store(all) }))
		gomega.Expect(h.checkAnswer("request", "oil for oak")).To(gomega.Succeed())
	})

	// Guards against reporting "not run" after an engine ran a step, and against ending an incomplete answer without an
	// error. There is no second path.
	bergamottest.Cases(map[string]runStateCase{
		"reports not run when the layers are gone":         {failure: "holds other layers than reported"},
		"reports not run when the target is leaving":       {failure: "is leaving", leaving: true},
		"reports not run when the target refuses":          {failure: "refuses connections", refused: true},
		"reports not run when the target does not reply":   {failure: "does not reply"},
		"reports run after a crash mid-answer":             {failure: "dies mid-answer", run: bergamotrequest.RunYes, refused: true},
		"reports run after a token for another session":    {failure: "answers for another session", run: bergamotrequest.RunYes},
		"reports run after a step that was applied twice":  {failure: "runs a step twice", run: bergamotrequest.RunYes},
		"reports run after a step that got lost":           {failure: "loses a step", run: bergamotrequest.RunYes},
		"reports run when the last stage hangs mid-answer": {failure: "hangs with heartbeat", run: bergamotrequest.RunYes},
	}, func(c runStateCase) {
		h := newHarness(1)
		defer h.close()
		h.session.MaxAttempts = 1
		hooks := map[string][]bergamotfake.Hook{}
		failures[c.failure].inject(h, hooks, 'c', 6)
		for name, list := range hooks {
			h.engines[name].SetHook(list[0])
		}
		text, err := h.send(h.session, h.suspects, "request", "oil for oak")
		gomega.Expect(err).To(gomega.HaveOccurred())
		gomega.Expect(bergamotrequest.AsRefusal(err).RunState()).To(gomega.Equal(c.run))
		gomega.Expect(h.hasRun("request")).To(gomega.Equal(c.run == bergamotrequest.RunYes))
		gomega.Expect(bergamotfake.Reference("oil for oak", 7, modelLayers, answerTokens)).To(gomega.HavePrefix(text))
		gomega.Expect(len(h.refused) > 0).To(gomega.Equal(c.refused))
		gomega.Expect(len(h.leaving) > 0).To(gomega.Equal(c.leaving))
	})

	// Guards against reporting "not run" when the start took effect and only its reply was lost.
	ginkgo.It("reports unknown when the start took effect and its reply was lost", func() {
		h := newHarness(1)
		defer h.close()
		h.session.MaxAttempts = 1
		h.engines["a00"].Faults.LoseReplies("/span/start", 10)
		_, err := h.send(h.session, h.suspects, "request", "oil for oak")
		gomega.Expect(err).To(gomega.HaveOccurred())
		gomega.Expect(bergamotrequest.AsRefusal(err).RunState()).To(gomega.Equal(bergamotrequest.RunUnknown))
	})
})
