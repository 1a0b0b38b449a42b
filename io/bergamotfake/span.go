package bergamotfake

import (
	"slices"

	"bergamotspur/core/bergamotsession"
	"bergamotspur/io/bergamotengine"
)

// key identifies a span on an engine.
type key struct {
	session string
	attempt int
}

// span is one attempt's range of layers on an engine.
type span struct {
	message bergamotengine.SpanMessage
	states  []uint64
	steps   int
	inputs  int            // tokens run, the prompt included
	covered int            // layers whose state was imported
	started bool           // the first stage got the prefix
	kept    map[int]cached // state by the position of the token that the step gave
	seed    uint64
	limit   int
	tokens  []bergamotengine.TokenMessage
	fail    *bergamotengine.TokenMessage
	changed chan struct{}
}

func newSpan(m bergamotengine.SpanMessage) *span {
	return &span{message: m, states: make([]uint64, m.To-m.From), kept: map[int]cached{}, changed: make(chan struct{})}
}

// cached is the KV cache of a span after one step.
type cached struct {
	states []uint64
	inputs int
}

// ready tells whether the span can run a step: it needs every input that it has not imported.
func (s *span) ready(m StepMessage) bool {
	if s.steps > 0 {
		return true
	}
	return m.Offset <= s.inputs && (s.covered == 0 || s.covered == len(s.states))
}

// run applies the layers of the span to a step; the first step leaves out what was imported.
func (s *span) run(m StepMessage) StepMessage {
	if skip := s.inputs - m.Offset; s.steps == 0 && skip > 0 {
		m.Hidden = m.Hidden[min(skip, len(m.Hidden)-1):]
		m.Offset = s.inputs
	}
	s.steps++
	s.inputs += len(m.Hidden)
	defer func() { s.kept[m.Position] = cached{slices.Clone(s.states), s.inputs} }()
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
