package bergamotsession

import (
	"time"

	"bergamotspur/core/bergamotroute"
)

// pulls returns, for each stage of plan, the imports from live stages of an earlier attempt, or nil when
// recomputing everything is faster. Imports are useful only for a suffix of the stages: a stage that
// recomputes needs the hidden states of the whole prefix from all stages before it.
func pulls(e Estimate, plan bergamotroute.Plan, source []Span, live func(instance string) bool, tokens, width, position int) [][]Import {
	stages := plan.Stages()
	all := make([][]Import, len(stages))
	layers := stages[len(stages)-1].To()
	best, bestAt := e.Recompute(layers, tokens), len(stages)
	var slowest time.Duration
	for n := len(stages) - 1; n >= 0; n-- {
		imports, took, ok := stagePulls(e, stages[n], source, live, tokens, width, position)
		if !ok {
			break
		}
		all[n] = imports
		slowest = max(slowest, took)
		// Pulls of different stages run at the same time, and the prefill starts after the last one.
		if total := slowest + e.Recompute(stages[n].From(), tokens); total < best {
			best, bestAt = total, n
		}
	}
	if bestAt == len(stages) {
		return nil
	}
	clear(all[:bestAt])
	return all
}

// stagePulls returns the imports that cover all layers of a stage and the time that they take.
func stagePulls(e Estimate, to bergamotroute.Stage, source []Span, live func(string) bool, tokens, width, position int) (imports []Import, took time.Duration, ok bool) {
	at := to.From()
	for _, s := range source {
		from := s.Stage()
		if from.To() <= at || from.From() > at || at >= to.To() {
			continue
		}
		if !live(from.Instance()) {
			return nil, 0, false
		}
		end := min(from.To(), to.To())
		imports = append(imports, NewImport(from.Address(), s.Attempt(), at, end, position))
		if from.Instance() != to.Instance() {
			took += e.Pull(e.Bytes(end-at, tokens, width))
		}
		at = end
	}
	return imports, took, at == to.To()
}
