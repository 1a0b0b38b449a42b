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

// Instances is a fake of the platform's instance list.
type Instances struct {
	Faults Faults
	Plain  bool // serves without entity tags and compression; set before the first request

	mu   sync.Mutex
	list []bergamotlist.InstanceMessage
}

// NewInstances returns an empty list.
func NewInstances() *Instances { return &Instances{} }

// Put adds an instance or replaces the instance of the same name.
func (l *Instances) Put(m bergamotlist.InstanceMessage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = slices.DeleteFunc(l.list, func(x bergamotlist.InstanceMessage) bool { return x.Name == m.Name })
	l.list = append(l.list, m)
}

// Remove removes the instance of that name from the list.
func (l *Instances) Remove(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = slices.DeleteFunc(l.list, func(x bergamotlist.InstanceMessage) bool { return x.Name == name })
}

// Handler returns the HTTP interface with the faults.
func (l *Instances) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", l.serveList)
	mux.HandleFunc("POST /instances", func(w http.ResponseWriter, r *http.Request) {
		serveJSON(w, r, func(m bergamotlist.InstanceMessage) any {
			l.Put(m)
			return struct{}{}
		})
	})
	return l.Faults.Wrap(mux)
}

// serveList replies with the list and its entity tag, compressed on request, or with 304 if the caller's tag is current.
func (l *Instances) serveList(w http.ResponseWriter, r *http.Request) {
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
	// A failed write is ignored: a caller that lost its connection asks again.
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
