package bergamotroute

import "slices"

// Stage is one instance of a plan with the layers that it runs.
type Stage struct {
	instance string
	address  string
	from     int
	to       int
	share    float64 // expected share of the time of a token, set by Router.Route
}

// NewStage returns a stage that runs layers from (included) to to (excluded) on an instance.
func NewStage(instance, address string, from, to int) Stage {
	return Stage{instance: instance, address: address, from: from, to: to}
}

// Instance returns the name of the instance.
func (s Stage) Instance() string { return s.instance }

// Address returns the host and port of the instance.
func (s Stage) Address() string { return s.address }

// From returns the first layer.
func (s Stage) From() int { return s.from }

// To returns the layer after the last one.
func (s Stage) To() int { return s.to }

// Plan is the ordered list of stages that together run every layer of a model once.
type Plan struct{ stages []Stage }

// NewPlan returns a plan of the given stages.
func NewPlan(stages ...Stage) Plan { return Plan{stages: slices.Clone(stages)} }

// Stages returns the stages in the order of their layers; the caller must not modify the slice.
func (p Plan) Stages() []Stage { return p.stages }

// Covers reports whether the stages run the layers from 0 to layers (excluded) without a gap or an overlap.
func (p Plan) Covers(layers int) bool {
	at := 0
	for _, s := range p.stages {
		if s.from != at || s.to <= s.from {
			return false
		}
		at = s.to
	}
	return at == layers
}

// Instances returns the names of the instances in the order of the stages.
func (p Plan) Instances() []string {
	names := make([]string, len(p.stages))
	for n, s := range p.stages {
		names[n] = s.instance
	}
	return names
}
