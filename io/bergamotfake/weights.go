package bergamotfake

import (
	"net/http"
	"sync"
	"time"

	"bergamotspur/io/bergamotweight"
)

// Weights is a fake weight store.
type Weights struct {
	Faults Faults

	mu   sync.Mutex
	rate float64 // layers a second, 0 for no limit
	next time.Time
}

// NewWeights returns a store without a limit.
func NewWeights() *Weights { return &Weights{} }

// SetRate limits the loads to layers a second; 0 is no limit.
func (w *Weights) SetRate(rate float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rate = rate
}

// Handler returns the routes.
func (w *Weights) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /weights/reserve", func(out http.ResponseWriter, r *http.Request) {
		answer(out, r, func(m bergamotweight.ReserveMessage) any {
			return bergamotweight.ReserveReply{WaitMs: w.reserve(time.Now(), m.Layers).Milliseconds()}
		})
	})
	return w.Faults.Wrap(mux)
}

func (w *Weights) reserve(now time.Time, layers int) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.rate == 0 {
		return 0
	}
	if wait := w.next.Sub(now); wait > 0 {
		return max(wait, time.Millisecond)
	}
	w.next = now.Add(time.Duration(float64(layers) / w.rate * float64(time.Second)))
	return 0
}
