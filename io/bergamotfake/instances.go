package bergamotfake

import (
	"net/http"
	"slices"
	"sync"

	"bergamotspur/io/bergamotlist"
	"bergamotspur/io/bergamotwire"
)

// Instances is a fake instance list.
type Instances struct {
	Faults Faults

	mu   sync.Mutex
	list []bergamotlist.InstanceMessage
}

// NewInstances returns an empty list.
func NewInstances() *Instances { return &Instances{} }

// Put adds an instance or replaces the one of the same name.
func (l *Instances) Put(m bergamotlist.InstanceMessage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = slices.DeleteFunc(l.list, func(x bergamotlist.InstanceMessage) bool { return x.Name == m.Name })
	l.list = append(l.list, m)
}

// Remove takes an instance off the list.
func (l *Instances) Remove(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = slices.DeleteFunc(l.list, func(x bergamotlist.InstanceMessage) bool { return x.Name == name })
}

// Handler returns the routes.
func (l *Instances) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, _ *http.Request) {
		l.mu.Lock()
		defer l.mu.Unlock()
		bergamotwire.Write(w, http.StatusOK, l.list)
	})
	mux.HandleFunc("POST /instances", func(w http.ResponseWriter, r *http.Request) {
		answer(w, r, func(m bergamotlist.InstanceMessage) any {
			l.Put(m)
			return struct{}{}
		})
	})
	return l.Faults.Wrap(mux)
}
