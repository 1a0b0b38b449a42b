package bergamotfake

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

// Faults injects faults into the HTTP interface of a fake; the zero value injects none. All methods may be called while
// requests run.
type Faults struct {
	mu          sync.Mutex
	down        bool
	silent      chan struct{} // closed when held requests may continue; nil if none are held
	delay       time.Duration
	lostReplies map[string]int // replies still to be lost by path prefix
	calls       map[string]int // requests by path
}

// SetDown makes every request fail with status 503 without an effect.
func (f *Faults) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// SetDelay delays every request before it has an effect.
func (f *Faults) SetDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}

// SetSilent holds back every new request without an answer until it is called again.
func (f *Faults) SetSilent(silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.silent != nil {
		close(f.silent)
		f.silent = nil
	}
	if silent {
		f.silent = make(chan struct{})
	}
}

// LoseReplies cuts the connection after the next n requests whose path begins with prefix have taken effect.
func (f *Faults) LoseReplies(prefix string, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lostReplies == nil {
		f.lostReplies = map[string]int{}
	}
	f.lostReplies[prefix] = n
}

// Calls returns the number of requests whose path begins with prefix.
func (f *Faults) Calls(prefix string) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for path, count := range f.calls {
		if strings.HasPrefix(path, prefix) {
			n += count
		}
	}
	return n
}

// Wrap returns a handler that applies the faults and then calls h.
func (f *Faults) Wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		down, silent, delay := f.countCall(r.URL.Path)
		if silent != nil {
			select {
			case <-silent:
			case <-r.Context().Done():
				return
			}
		}
		if delay > 0 {
			select {
			case <-time.After(delay):
			case <-r.Context().Done():
				return
			}
		}
		if down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if f.takeLostReply(r.URL.Path) {
			h.ServeHTTP(discardWriter{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, r)
	})
}

// countCall counts a request and returns the faults that apply to it.
func (f *Faults) countCall(path string) (down bool, silent chan struct{}, delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.calls == nil {
		f.calls = map[string]int{}
	}
	f.calls[path]++
	return f.down, f.silent, f.delay
}

// takeLostReply reports whether the reply to a request is to be lost, and counts it as lost.
func (f *Faults) takeLostReply(path string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for prefix, n := range f.lostReplies {
		if n > 0 && strings.HasPrefix(path, prefix) {
			f.lostReplies[prefix]--
			return true
		}
	}
	return false
}

// discardWriter is an http.ResponseWriter that discards the reply.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header            { return d.header }
func (d discardWriter) Write(data []byte) (int, error) { return len(data), nil }
func (d discardWriter) WriteHeader(int)                {}
