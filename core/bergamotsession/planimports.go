package bergamotsession

import (
	"time"

	"bergamotspur/core/bergamotroute"
)

// planImports returns, for each stage of plan, the imports from live stages of an earlier attempt, or nil when
// recomputing everything is faster. Only a suffix of the stages can profit from imports: a stage that
// recomputes needs the hidden states of the whole prefix from all stages before it.
func planImports(e Estimate, plan bergamotroute.Plan, source []Span, isLive func(instance string) bool, tokens, width, position int) [][]Import {
	stages := plan.Stages()
	all := make([][]Import, len(stages))
	layers := stages[len(stages)-1].To()
	bestTime, firstImport := e.RecomputeTime(layers, tokens), len(stages)
	var slowest time.Duration
	for n := len(stages) - 1; n >= 0; n-- {
		imports, duration, ok := planStageImports(e, stages[n], source, isLive, tokens, width, position)
		if !ok {
			break
		}
		all[n] = imports
		slowest = max(slowest, duration)
		// The stages import concurrently, and the prefill starts after the last import.
		if total := slowest + e.RecomputeTime(stages[n].From(), tokens); total < bestTime {
			bestTime, firstImport = total, n
		}
	}
	if firstImport == len(stages) {
		return nil
	}
	clear(all[:firstImport])
	return all
}

// planStageImports returns the imports that cover all layers of a stage and the time that they take; ok is false when a
// source is not live or does not have all layers.
func planStageImports(e Estimate, stage bergamotroute.Stage, source []Span, isLive func(string) bool, tokens, width, position int) (imports []Import, duration time.Duration, ok bool) {
	nextLayer := stage.From()
	for _, s := range source {
		sourceStage := s.Stage()
		if sourceStage.To() <= nextLayer || sourceStage.From() > nextLayer || nextLayer >= stage.To() {
			continue
		}
		if !isLive(sourceStage.Instance()) {
			return nil, 0, false
		}
		end := min(sourceStage.To(), stage.To())
		imports = append(imports, NewImport(sourceStage.Address(), s.Attempt(), nextLayer, end, position))
		if sourceStage.Instance() != stage.Instance() {
			duration += e.ImportTime(e.CacheBytes(end-nextLayer, tokens, width))
		}
		nextLayer = end
	}
	return imports, duration, nextLayer == stage.To()
}
