package bergamotfake

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"bergamotspur/io/bergamotlist"
)

// Instances is a fake instance list.
type Instances struct {
	Faults Faults
	Plain  bool // the list offers neither tags nor compression; set before it serves

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
	mux.HandleFunc("GET /instances", l.read)
	mux.HandleFunc("POST /instances", func(w http.ResponseWriter, r *http.Request) {
		answer(w, r, func(m bergamotlist.InstanceMessage) any {
			l.Put(m)
			return struct{}{}
		})
	})
	return l.Faults.Wrap(mux)
}

// read replies with the list and a tag of its content, compressed on request, or only that the tag is current.
func (l *Instances) read(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	data, err := json.Marshal(l.list)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := fmt.Sprintf("\"%x\"", xxhash.Sum64(data))
	w.Header().Set("Content-Type", "application/json")
	if !l.Plain {
		w.Header().Set("ETag", tag)
		if r.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		if r.Header.Get("Accept-Encoding") == "gzip" {
			data = compress(data)
			w.Header().Set("Content-Encoding", "gzip")
		}
	}
	// A reader that has gone away asks again.
	_, _ = w.Write(data)
}

func compress(data []byte) []byte {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	// Writing to a buffer does not fail.
	_, _ = w.Write(data)
	_ = w.Close()
	return out.Bytes()
}
