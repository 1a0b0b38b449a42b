package bergamotengine_test

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamottest"
	"bergamotspur/io/bergamotfake"
)

// failure is a fault of one engine of a stage. It occurs before the request is sent, or once a caller has got a token, at
// the first step at or after a position.
type failure struct {
	action        bergamotfake.Action
	beforeStep    func(h *harness, e *bergamotfake.Engine)
	beforeRequest func(e *bergamotfake.Engine)
}

// failures holds the faults of a target or its connection by name.
var failures = map[string]failure{
	"dies mid-answer":      {action: bergamotfake.ActionCrash},
	"hangs with heartbeat": {beforeStep: func(h *harness, _ *bergamotfake.Engine) { <-h.release }},
	"loses a step":         {action: bergamotfake.ActionDropResult},
	"runs a step twice":    {action: bergamotfake.ActionRunTwice},
	// The step continues once the session has given up the attempt and retries.
	"answers late": {beforeStep: func(h *harness, _ *bergamotfake.Engine) {
		select {
		case <-h.retried:
		case <-h.release:
		}
	}},
	"applies a step and loses the reply": {beforeStep: func(_ *harness, e *bergamotfake.Engine) { e.Faults.LoseReplies("/span/", 1) }},
	"answers for another session":        {action: bergamotfake.ActionWrongSession},
	"repeats a token":                    {action: bergamotfake.ActionRepeatToken},
	"freezes the open connections":       {beforeStep: func(_ *harness, e *bergamotfake.Engine) { e.FreezeStreams() }},
	"holds other layers than reported":   {beforeRequest: func(e *bergamotfake.Engine) { e.SetHoldings() }},
	"is leaving":                         {beforeRequest: func(e *bergamotfake.Engine) { e.Leave() }},
	"refuses connections":                {beforeRequest: func(e *bergamotfake.Engine) { e.Kill() }},
	"does not reply":                     {beforeRequest: func(e *bergamotfake.Engine) { e.Faults.SetSilent(true) }},
}

// inject makes the failure occur once: on the first replica of the stage if it occurs before the request, otherwise on
// the engine of the stage that first reaches the position.
func (f failure) inject(h *harness, hooks map[string][]bergamotfake.Hook, stage byte, position int) {
	if f.beforeRequest != nil {
		f.beforeRequest(h.engines[string(stage)+"00"])
		return
	}
	var injected atomic.Bool
	for name, e := range h.engines {
		if name[0] != stage {
			continue
		}
		hooks[name] = append(hooks[name], func(step bergamotfake.StepRecord) bergamotfake.Action {
			if step.Position < position || !injected.CompareAndSwap(false, true) {
				return bergamotfake.ActionRun
			}
			h.waitForDelivery()
			if f.beforeStep != nil {
				f.beforeStep(h, e)
			}
			return f.action
		})
	}
}

// scenario is one request with one or two failures on different stages.
type scenario struct {
	done chan error // receives the result of run
	run  func() error
}

func newScenario(first string, firstStage byte, second string, secondStage byte) *scenario {
	s := &scenario{done: make(chan error, 1)}
	s.run = func() error {
		h := newHarness(3)
		defer h.close()
		hooks := map[string][]bergamotfake.Hook{}
		failures[first].inject(h, hooks, firstStage, 6)
		if second != "" {
			// Two crashes, the second with no other request in the batch, would quarantine the request. The tests
			// of suspects cover that; here the answer has to survive both.
			h.session.Suspects = bergamottest.NoSuspects{}
			failures[second].inject(h, hooks, secondStage, 6)
		}
		for name, list := range hooks {
			h.engines[name].SetHook(func(e bergamotfake.StepRecord) (action bergamotfake.Action) {
				for _, hook := range list {
					if a := hook(e); a != bergamotfake.ActionRun {
						action = a
					}
				}
				return action
			})
		}
		return h.checkAnswer("request", "oil for beech boards")
	}
	return s
}

// scenarios returns each failure on each stage, and each pair of failures on two stages.
func scenarios() map[string]*scenario {
	out := map[string]*scenario{}
	for first := range failures {
		for _, stage := range "abc" {
			out[fmt.Sprintf("stage %c %s", stage, first)] = newScenario(first, byte(stage), "", 0)
		}
		for second := range failures {
			out[fmt.Sprintf("stage b %s and stage c %s", first, second)] = newScenario(first, 'b', second, 'c')
		}
	}
	return out
}

// maxParallel is the number of scenarios that run at the same time; they mostly wait for timeouts.
const maxParallel = 8

var _ = ginkgo.Describe("an answer with failing targets", func() {
	table := scenarios()
	var once sync.Once
	start := func() {
		slots := make(chan struct{}, maxParallel)
		for _, s := range table {
			go func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				s.done <- s.run()
			}()
		}
	}
	// Guards against an answer in which a token is missing, repeated or of another session after one or two failures.
	bergamottest.Cases(table, func(s *scenario) {
		once.Do(start)
		gomega.Expect(<-s.done).To(gomega.Succeed())
	})
})
