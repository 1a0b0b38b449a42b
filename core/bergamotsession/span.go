package bergamotsession

import "bergamotspur/core/bergamotroute"

// Span is the part of an attempt that one instance runs.
type Span struct {
	session    string
	attempt    int
	model      string
	version    string
	adapter    string
	stageIndex int
	start      int
	plan       bergamotroute.Plan
}

// SpanSpec holds the values that all spans of an attempt share.
type SpanSpec struct {
	Session string // identifies the answer
	Attempt int    // number of the attempt, from 1
	Model   string
	Version string
	Adapter string
	Start   int // position of the first token that the attempt generates
	Plan    bergamotroute.Plan
}

// NewSpan returns the span of the stage with the given index in the plan.
func NewSpan(s SpanSpec, stageIndex int) Span {
	return Span{
		session: s.Session, attempt: s.Attempt, model: s.Model, version: s.Version, adapter: s.Adapter,
		stageIndex: stageIndex, start: s.Start, plan: s.Plan,
	}
}

// Session returns the identifier of the answer.
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

// Stage returns the instance and the layers of the span.
func (s Span) Stage() bergamotroute.Stage { return s.plan.Stages()[s.stageIndex] }

// NextAddress returns the address of the following stage, empty for the last stage.
func (s Span) NextAddress() string {
	if s.stageIndex+1 == len(s.plan.Stages()) {
		return ""
	}
	return s.plan.Stages()[s.stageIndex+1].Address()
}

// FirstAddress returns the address of the first stage, which embeds each generated token.
func (s Span) FirstAddress() string { return s.plan.Stages()[0].Address() }

// LastAddress returns the address of the last stage, which streams the tokens.
func (s Span) LastAddress() string { return s.plan.Stages()[len(s.plan.Stages())-1].Address() }

// Plan returns the stages of the whole attempt.
func (s Span) Plan() bergamotroute.Plan { return s.plan }
