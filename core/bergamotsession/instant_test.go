package bergamotsession_test

import (
	"context"

	"bergamotspur/core/bergamotsession"
)

// instantEngine is an engine that replies at once and allocates nothing for a token, so that a benchmark measures the
// session alone.
type instantEngine struct {
	*simEngine
	steps []bergamotsession.Step
}

func newInstantEngine() *instantEngine {
	return &instantEngine{simEngine: newSimEngine(1, faults{})}
}

func (e *instantEngine) Stream(_ context.Context, _ string, s bergamotsession.Span, _ int) (bergamotsession.TokenStream, error) {
	if e.steps == nil {
		source := &simStream{span: s}
		for n := range 500 {
			e.steps = append(e.steps, source.stepWithProof(s.Session(), n, n))
		}
	}
	return &instantStream{steps: e.steps}, nil
}

type instantStream struct{ steps []bergamotsession.Step }

func (s *instantStream) Next(context.Context) (step bergamotsession.Step, err error) {
	step, s.steps = s.steps[0], s.steps[1:]
	return step, nil
}

func (s *instantStream) Close() error { return nil }
