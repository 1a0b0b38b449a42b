package bergamotfake

import (
	"net/http"
	"reflect"
	"slices"
	"time"

	"bergamotspur/io/bergamotengine"
)

// applyOrder drops holdings that are not in the order at once and holds the new ones after their load time; it returns 409
// for an outdated fencing token if the engine is Fenced.
func (e *Engine) applyOrder(m bergamotengine.OrderMessage) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.Fenced && m.FencingToken < e.maxFencingToken {
		return http.StatusConflict
	}
	e.maxFencingToken = max(e.maxFencingToken, m.FencingToken)
	e.fencingTokens = append(e.fencingTokens, m.FencingToken)
	current, layers := len(e.fencingTokens), 0
	var kept []bergamotengine.HoldingMessage
	for _, h := range m.Holdings {
		if slices.ContainsFunc(e.holdings, func(x bergamotengine.HoldingMessage) bool { return reflect.DeepEqual(x, h) }) {
			kept = append(kept, h)
			continue
		}
		layers += h.To - h.From
	}
	e.holdings = kept
	finish := func() {
		if len(e.fencingTokens) == current { // otherwise a later order replaced this one
			e.holdings = m.Holdings
		}
	}
	if e.LoadTime == 0 {
		finish()
		return http.StatusOK
	}
	time.AfterFunc(time.Duration(layers)*e.LoadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		finish()
	})
	return http.StatusOK
}
