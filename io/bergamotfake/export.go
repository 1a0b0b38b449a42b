package bergamotfake

import (
	"context"
	"net/http"
	"time"

	"bergamotspur/io/bergamotengine"
	"bergamotspur/io/bergamotwire"
)

// An ExportMessage asks an engine for the state of some layers of a span as of a position.
type ExportMessage struct {
	Session  string `json:"session"`
	Attempt  int    `json:"attempt"`
	From     int    `json:"from"`
	To       int    `json:"to"`
	Position int    `json:"position"`
}

// A CacheMessage is the state of some layers of a span and the number of inputs that it covers.
type CacheMessage struct {
	States []uint64 `json:"states"`
	Inputs int      `json:"inputs"`
}

// export returns the state right after the step that generated the token at the position.
func (e *Engine) export(m ExportMessage) (int, CacheMessage) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.spans[spanKey{m.Session, m.Attempt}]
	if !ok || m.From < s.message.From || m.To > s.message.To {
		return http.StatusNotFound, CacheMessage{}
	}
	c, ok := s.snapshots[m.Position]
	if !ok {
		return http.StatusNotFound, CacheMessage{}
	}
	return http.StatusOK, CacheMessage{States: c.states[m.From-s.message.From : m.To-s.message.From], Inputs: c.inputs}
}

// importState fetches state from another engine and imports it into a span that has not run a step yet.
func (e *Engine) importState(w http.ResponseWriter, r *http.Request) {
	var m bergamotengine.ImportMessage
	if err := bergamotwire.Read(r, &m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var c CacheMessage
	ask := ExportMessage{Session: m.Session, Attempt: m.SourceAttempt, From: m.From, To: m.To, Position: m.Position}
	ctx, cancel := context.WithTimeout(r.Context(), forwardTimeout)
	defer cancel()
	if err := e.client.Post(ctx, m.Source, "/span/export", ask, &c); err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	bergamotwire.Write(w, e.applyImport(m, c), struct{}{})
}

// applyImport copies imported state into a span and returns the HTTP status; it refuses state that arrives after the first
// step, since a late import would corrupt the answer.
func (e *Engine) applyImport(m bergamotengine.ImportMessage, c CacheMessage) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.spans[spanKey{m.Session, m.Attempt}]
	switch {
	case !ok:
		return http.StatusNotFound
	case s.steps > 0 || m.From < s.message.From || m.To > s.message.To || s.importedLayers > 0 && s.inputs != c.Inputs:
		return http.StatusConflict
	}
	copy(s.states[m.From-s.message.From:], c.States)
	s.importedLayers += len(c.States)
	s.inputs = c.Inputs
	e.imports++
	return http.StatusOK
}

// Imports returns the number of accepted imports of state from other engines.
func (e *Engine) Imports() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.imports
}

func (e *Engine) progress(m bergamotengine.SpanMessage) (int, bergamotengine.ProgressMessage) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.spans[spanKey{m.Session, m.Attempt}]
	if !ok {
		return http.StatusNotFound, bergamotengine.ProgressMessage{}
	}
	out := bergamotengine.ProgressMessage{Steps: s.steps}
	if !e.batchStart.IsZero() {
		out.BatchAgeMs = time.Since(e.batchStart).Milliseconds()
	}
	return http.StatusOK, out
}
