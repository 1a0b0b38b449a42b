package bergamotsession

import "bergamotspur/core/bergamotroute"

// Span is the part of an attempt that one instance runs.
type Span struct {
	session string
	attempt int
	model   string
	version string
	adapter string
	index   int
	start   int
	plan    bergamotroute.Plan
}

// SpanSpec holds what the spans of one attempt have in common.
type SpanSpec struct {
	Session string // identifies the answer
	Attempt int    // from 1, goes up with each attempt
	Model   string
	Version string
	Adapter string
	Start   int // position of the first token that the attempt generates
	Plan    bergamotroute.Plan
}

// NewSpan returns the span of the stage with the given index in the plan.
func NewSpan(s SpanSpec, index int) Span {
	return Span{
		session: s.Session, attempt: s.Attempt, model: s.Model, version: s.Version, adapter: s.Adapter,
		index: index, start: s.Start, plan: s.Plan,
	}
}

// Session returns what identifies the answer.
func (s Span) Session() string { return s.session }

// Attempt returns the number of the attempt, from 1.
func (s Span) Attempt() int { return s.attempt }

// Model returns the name of the model.
func (s Span) Model() string { return s.model }

// Version returns the version of the weights.
func (s Span) Version() string { return s.version }

// Adapter returns the name of the adapter, empty for none.
func (s Span) Adapter() string { return s.adapter }

// Start returns the position of the first token that the attempt generates.
func (s Span) Start() int { return s.start }

// Stage returns the instance and layers of the span.
func (s Span) Stage() bergamotroute.Stage { return s.plan.Stages()[s.index] }

// Next returns the address of the following stage, empty for the last stage.
func (s Span) Next() string {
	if s.index+1 == len(s.plan.Stages()) {
		return ""
	}
	return s.plan.Stages()[s.index+1].Address()
}

// First returns the address of the first stage, which embeds each generated token.
func (s Span) First() string { return s.plan.Stages()[0].Address() }

// Last returns the address of the last stage, which streams the tokens.
func (s Span) Last() string { return s.plan.Stages()[len(s.plan.Stages())-1].Address() }

// Plan returns the stages of the whole attempt.
func (s Span) Plan() bergamotroute.Plan { return s.plan }
