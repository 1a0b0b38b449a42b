package bergamotfake

import (
	"net/http"
	"reflect"
	"slices"
	"time"

	"bergamotspur/io/bergamotengine"
)

// order drops what is not ordered at once, and holds the rest when it is loaded.
func (e *Engine) order(m bergamotengine.OrderMessage) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.Fenced && m.FencingToken < e.number {
		return http.StatusConflict
	}
	e.number = max(e.number, m.FencingToken)
	e.orders = append(e.orders, m.FencingToken)
	current, layers := len(e.orders), 0
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
		if len(e.orders) == current { // otherwise another order came in between
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
