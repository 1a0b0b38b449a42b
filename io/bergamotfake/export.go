package bergamotfake

import (
	"context"
	"net/http"
	"time"

	"bergamotspur/io/bergamotengine"
	"bergamotspur/io/bergamotwire"
)

// ExportMessage asks an engine for the state of layers of a span, cut to a position.
type ExportMessage struct {
	Session  string `json:"session"`
	Attempt  int    `json:"attempt"`
	From     int    `json:"from"`
	To       int    `json:"to"`
	Position int    `json:"position"`
}

// CacheMessage is the state of layers of a span and the count of inputs that it covers.
type CacheMessage struct {
	States []uint64 `json:"states"`
	Inputs int      `json:"inputs"`
}

// export returns the state after the step that gave the token at the position, before later steps changed it.
func (e *Engine) export(m ExportMessage) (int, CacheMessage) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.spans[key{m.Session, m.Attempt}]
	if !ok || m.From < s.message.From || m.To > s.message.To {
		return http.StatusNotFound, CacheMessage{}
	}
	c, ok := s.kept[m.Position]
	if !ok {
		return http.StatusNotFound, CacheMessage{}
	}
	return http.StatusOK, CacheMessage{States: c.states[m.From-s.message.From : m.To-s.message.From], Inputs: c.inputs}
}

// pull imports state from another engine before the first step of a span.
func (e *Engine) pull(w http.ResponseWriter, r *http.Request) {
	var m bergamotengine.ImportMessage
	if err := bergamotwire.Read(r, &m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var c CacheMessage
	ask := ExportMessage{Session: m.Session, Attempt: m.SourceAttempt, From: m.From, To: m.To, Position: m.Position}
	ctx, cancel := context.WithTimeout(r.Context(), forwardTimeout)
	defer cancel()
	if err := e.wire.Post(ctx, m.Source, "/span/export", ask, &c); err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	bergamotwire.Write(w, e.adopt(m, c), struct{}{})
}

// adopt refuses state that comes after the first step, since a late import would corrupt the answer.
func (e *Engine) adopt(m bergamotengine.ImportMessage, c CacheMessage) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.spans[key{m.Session, m.Attempt}]
	switch {
	case !ok:
		return http.StatusNotFound
	case s.steps > 0 || m.From < s.message.From || m.To > s.message.To || s.covered > 0 && s.inputs != c.Inputs:
		return http.StatusConflict
	}
	copy(s.states[m.From-s.message.From:], c.States)
	s.covered += len(c.States)
	s.inputs = c.Inputs
	e.imports++
	return http.StatusOK
}

// Imports returns how many times the engine took over state from another one.
func (e *Engine) Imports() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.imports
}

func (e *Engine) progress(m bergamotengine.SpanMessage) (int, bergamotengine.ProgressMessage) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.spans[key{m.Session, m.Attempt}]
	if !ok {
		return http.StatusNotFound, bergamotengine.ProgressMessage{}
	}
	out := bergamotengine.ProgressMessage{Steps: s.steps}
	if !e.batch.IsZero() {
		out.BatchAgeMs = time.Since(e.batch).Milliseconds()
	}
	return http.StatusOK, out
}
