package bergamotbundle

import "time"

// Pipeline is a model, with or without an adapter, under the name that requests use.
type Pipeline struct {
	name            string
	model           Model
	adapter         string
	priority        int
	replicas        int
	deadline        time.Duration
	maxAnswerTokens int
}

// Name returns the name of the pipeline.
func (p Pipeline) Name() string { return p.name }

// Model returns the model that serves the pipeline.
func (p Pipeline) Model() Model { return p.model }

// WithVersion returns a copy that is served by another version of the model.
func (p Pipeline) WithVersion(version string) Pipeline {
	p.model.version = version
	return p
}

// Adapter returns the name of the adapter, empty for none.
func (p Pipeline) Adapter() string { return p.adapter }

// Priority returns the priority of the pipeline; larger numbers go first.
func (p Pipeline) Priority() int { return p.priority }

// Replicas returns the desired number of instances that hold each layer.
func (p Pipeline) Replicas() int { return p.replicas }

// Deadline returns the default time for a whole answer.
func (p Pipeline) Deadline() time.Duration { return p.deadline }

// MaxAnswerTokens returns the maximum number of tokens in one answer.
func (p Pipeline) MaxAnswerTokens() int { return p.maxAnswerTokens }
