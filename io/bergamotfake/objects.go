package bergamotfake

import (
	"io"
	"net/http"
	"sync"
)

// Objects is a fake of the platform's object store.
type Objects struct {
	Faults Faults

	mu   sync.Mutex
	data map[string][]byte
}

// NewObjects returns an empty store.
func NewObjects() *Objects { return &Objects{data: map[string][]byte{}} }

// Handler returns the HTTP interface with the faults.
func (o *Objects) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /objects/{name}", func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		o.mu.Lock()
		defer o.mu.Unlock()
		o.data[r.PathValue("name")] = data
	})
	mux.HandleFunc("GET /objects/{name}", func(w http.ResponseWriter, r *http.Request) {
		o.mu.Lock()
		data, ok := o.data[r.PathValue("name")]
		o.mu.Unlock()
		if !ok {
			http.NotFound(w, r)
			return
		}
		// A failed write is ignored: the caller may have closed its connection.
		_, _ = w.Write(data)
	})
	return o.Faults.Wrap(mux)
}
