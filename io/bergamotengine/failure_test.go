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

// failure makes one engine of a stage misbehave at the first step at or after a position.
type failure struct {
	action bergamotfake.Action
	before func(r *rig, e *bergamotfake.Engine)
	begin  func(e *bergamotfake.Engine) // done before the request comes
}

// failures are the ways in which a target or its connection fails while it answers.
var failures = map[string]failure{
	"dies mid-answer":      {action: bergamotfake.ActionDie},
	"hangs with heartbeat": {before: func(r *rig, _ *bergamotfake.Engine) { <-r.release }},
	"loses a step":         {action: bergamotfake.ActionLose},
	"runs a step twice":    {action: bergamotfake.ActionTwice},
	// The step goes on once the session has given the attempt up.
	"answers late": {before: func(r *rig, _ *bergamotfake.Engine) {
		select {
		case <-r.retried:
		case <-r.release:
		}
	}},
	"applies a step and loses the reply": {before: func(_ *rig, e *bergamotfake.Engine) { e.Faults.LoseReplies("/span/", 1) }},
	"answers for another session":        {action: bergamotfake.ActionCross},
	"repeats a token":                    {action: bergamotfake.ActionRepeat},
	"freezes the open connections":       {before: func(_ *rig, e *bergamotfake.Engine) { e.FreezeStreams() }},
	"holds other layers than reported":   {begin: func(e *bergamotfake.Engine) { e.SetHoldings() }},
	"is leaving":                         {begin: func(e *bergamotfake.Engine) { e.Leave() }},
	"refuses connections":                {begin: func(e *bergamotfake.Engine) { e.Kill() }},
	"does not reply":                     {begin: func(e *bergamotfake.Engine) { e.Faults.SetSilent(true) }},
}

// arm makes the failure happen once, on the engine of the stage that first reaches the position.
func (f failure) arm(r *rig, hooks map[string][]bergamotfake.Hook, stage byte, position int) {
	if f.begin != nil {
		f.begin(r.engines[string(stage)+"00"])
		return
	}
	var happened atomic.Bool
	for name, e := range r.engines {
		if name[0] != stage {
			continue
		}
		hooks[name] = append(hooks[name], func(at bergamotfake.Entry) bergamotfake.Action {
			if at.Position < position || !happened.CompareAndSwap(false, true) {
				return bergamotfake.ActionRun
			}
			if f.before != nil {
				f.before(r, e)
			}
			return f.action
		})
	}
}

// scenario is one request with one or two failures on different stages.
type scenario struct {
	done chan error
	run  func() error
}

func newScenario(first string, at byte, second string, then byte) *scenario {
	s := &scenario{done: make(chan error, 1)}
	s.run = func() error {
		r := newRig(3)
		defer r.close()
		hooks := map[string][]bergamotfake.Hook{}
		failures[first].arm(r, hooks, at, 6)
		if second != "" {
			// Two crashes with the request alone at the second one are what a request that crashes targets
			// looks like, and are tested as such; here the answer has to survive both.
			r.session.Suspects = bergamottest.NoSuspects{}
			failures[second].arm(r, hooks, then, 6)
		}
		for name, list := range hooks {
			r.engines[name].SetHook(func(e bergamotfake.Entry) (action bergamotfake.Action) {
				for _, h := range list {
					if a := h(e); a != bergamotfake.ActionRun {
						action = a
					}
				}
				return action
			})
		}
		return r.check("request", "oil for beech boards")
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

// parallel is how many scenarios run at the same time; most of their time is spent in waiting for limits.
const parallel = 8

var _ = ginkgo.Describe("an answer with failing targets", func() {
	table := scenarios()
	var once sync.Once
	start := func() {
		slots := make(chan struct{}, parallel)
		for _, s := range table {
			go func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				s.done <- s.run()
			}()
		}
	}
	// Guards against an answer with a missing, repeated or foreign token after any failure, alone or with another.
	bergamottest.Cases(table, func(s *scenario) {
		once.Do(start)
		gomega.Expect(<-s.done).To(gomega.Succeed())
	})
})
