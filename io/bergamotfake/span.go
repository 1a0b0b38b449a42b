package bergamotfake

import (
	"slices"

	"bergamotspur/core/bergamotsession"
	"bergamotspur/io/bergamotengine"
)

// spanKey identifies a span on an engine.
type spanKey struct {
	session string
	attempt int
}

// span is the state of the layers that an engine runs for one attempt of a session.
type span struct {
	message        bergamotengine.SpanMessage
	states         []uint64
	steps          int
	inputs         int              // tokens processed, including the prompt
	importedLayers int              // number of layers with imported state
	started        bool             // the prompt has been enqueued
	snapshots      map[int]snapshot // state after each step by the position of its token
	seed           uint64
	limit          int
	tokens         []bergamotengine.TokenMessage
	fail           *bergamotengine.TokenMessage
	changed        chan struct{}
}

func newSpan(m bergamotengine.SpanMessage) *span {
	return &span{message: m, states: make([]uint64, m.To-m.From), snapshots: map[int]snapshot{}, changed: make(chan struct{})}
}

// snapshot is the KV cache of a span after one step.
type snapshot struct {
	states []uint64
	inputs int
}

// canRun reports whether the span can run a step: the step must include every input that was not imported.
func (s *span) canRun(m StepMessage) bool {
	if s.steps > 0 {
		return true
	}
	return m.Offset <= s.inputs && (s.importedLayers == 0 || s.importedLayers == len(s.states))
}

// run applies the layers of the span to a step; the first step skips imported inputs.
func (s *span) run(m StepMessage) StepMessage {
	if skip := s.inputs - m.Offset; s.steps == 0 && skip > 0 {
		m.Hidden = m.Hidden[min(skip, len(m.Hidden)-1):]
		m.Offset = s.inputs
	}
	s.steps++
	s.inputs += len(m.Hidden)
	defer func() { s.snapshots[m.Position] = snapshot{slices.Clone(s.states), s.inputs} }()
	hidden := make([]uint64, len(m.Hidden))
	for n, h := range m.Hidden {
		for l := range s.states {
			h = runLayer(&s.states[l], s.message.From+l, h)
		}
		hidden[n] = h
	}
	receipt := bergamotengine.ReceiptMessage{From: s.message.From, To: s.message.To, Steps: s.steps}
	m.Hidden = hidden
	m.Receipts = append(m.Receipts, receipt)
	m.Digest = bergamotsession.NextDigest(m.Digest, bergamotsession.NewReceipt(receipt.From, receipt.To, receipt.Steps))
	return m
}

// emit turns the output of the last stage into a token.
func (s *span) emit(m StepMessage) bergamotengine.TokenMessage {
	token := sample(m.Hidden[len(m.Hidden)-1])
	t := bergamotengine.TokenMessage{
		Session: m.Session, Attempt: m.Attempt, Position: m.Position, Token: token, Text: textOf(token),
		Last: m.Position+1 >= m.Limit, Receipts: m.Receipts, Digest: bergamotsession.LastDigest(m.Digest, token),
	}
	s.tokens = append(s.tokens, t)
	s.notify()
	return t
}

// notify wakes the streams that wait for a change.
func (s *span) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}
