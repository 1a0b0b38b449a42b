package bergamotfake

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

// Faults makes a fake misbehave; the zero value does nothing. All methods may be called while requests run.
type Faults struct {
	mu     sync.Mutex
	down   bool
	silent chan struct{}
	delay  time.Duration
	lose   map[string]int
	writes map[string]int
}

// SetDown makes every request fail with status 503 before it has an effect.
func (f *Faults) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// SetDelay makes every request wait before it has an effect.
func (f *Faults) SetDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}

// SetSilent holds every new request back without an answer until it is called with false.
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
	if f.lose == nil {
		f.lose = map[string]int{}
	}
	f.lose[prefix] = n
}

// Calls returns how many requests had a path that begins with prefix.
func (f *Faults) Calls(prefix string) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for path, count := range f.writes {
		if strings.HasPrefix(path, prefix) {
			n += count
		}
	}
	return n
}

// Wrap returns h with the faults applied to each request.
func (f *Faults) Wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		down, silent, delay := f.enter(r.URL.Path)
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
		if f.loses(r.URL.Path) {
			h.ServeHTTP(discard{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, r)
	})
}

func (f *Faults) enter(path string) (down bool, silent chan struct{}, delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.writes == nil {
		f.writes = map[string]int{}
	}
	f.writes[path]++
	return f.down, f.silent, f.delay
}

func (f *Faults) loses(path string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for prefix, n := range f.lose {
		if n > 0 && strings.HasPrefix(path, prefix) {
			f.lose[prefix]--
			return true
		}
	}
	return false
}

// discard is a reply that nobody receives.
type discard struct{ header http.Header }

func (d discard) Header() http.Header            { return d.header }
func (d discard) Write(data []byte) (int, error) { return len(data), nil }
func (d discard) WriteHeader(int)                {}
