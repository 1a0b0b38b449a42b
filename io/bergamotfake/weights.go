package bergamotfake

import (
	"net/http"
	"sync"
	"time"

	"bergamotspur/io/bergamotweight"
)

// Weights is a fake of the platform's weight store.
type Weights struct {
	Faults Faults

	mu        sync.Mutex
	rate      float64   // layers per second, 0 for no limit
	nextGrant time.Time // when the next load may start
}

// NewWeights returns a store without a rate limit.
func NewWeights() *Weights { return &Weights{} }

// SetRate limits loading to rate layers per second; 0 removes the limit.
func (w *Weights) SetRate(rate float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rate = rate
}

// Handler returns the HTTP interface with the faults.
func (w *Weights) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /weights/reserve", func(out http.ResponseWriter, r *http.Request) {
		serveJSON(out, r, func(m bergamotweight.ReserveMessage) any {
			return bergamotweight.ReserveReply{WaitMs: w.reserve(time.Now(), m.Layers).Milliseconds()}
		})
	})
	return w.Faults.Wrap(mux)
}

// reserve returns the time to wait before asking again, or 0 if the load may start now.
func (w *Weights) reserve(now time.Time, layers int) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.rate == 0 {
		return 0
	}
	if wait := w.nextGrant.Sub(now); wait > 0 {
		return max(wait, time.Millisecond)
	}
	w.nextGrant = now.Add(time.Duration(float64(layers) / w.rate * float64(time.Second)))
	return 0
}
