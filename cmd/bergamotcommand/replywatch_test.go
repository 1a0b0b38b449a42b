package bergamotcommand_test

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// replyWatch measures the longest time for which each of several processes has not replied. A spec that stops one process
// prints it when it fails: a process that the machine has halted for seconds looks like another failed target.
type replyWatch struct {
	cancel context.CancelFunc
	done   chan string // receives the name of each process when its requests have ended
	client http.Client
	urls   map[string]string // by name of the process

	mu      sync.Mutex
	longest map[string]time.Duration
}

// replyPeriod is the time between two requests to a process.
const replyPeriod = 50 * time.Millisecond

// watchReplies sends requests to the URLs, given by the name of the process, until stop.
func watchReplies(ctx context.Context, urls map[string]string) *replyWatch {
	ctx, cancel := context.WithCancel(ctx)
	w := &replyWatch{cancel: cancel, done: make(chan string, len(urls)), urls: urls, longest: map[string]time.Duration{}}
	w.client.Transport = &http.Transport{}
	for name, url := range urls {
		go func() {
			defer func() { w.done <- name }()
			w.watch(ctx, name, url)
		}()
	}
	return w
}

func (w *replyWatch) watch(ctx context.Context, name, url string) {
	for ctx.Err() == nil {
		began := time.Now()
		w.request(ctx, url)
		w.mu.Lock()
		w.longest[name] = max(w.longest[name], time.Since(began))
		w.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(replyPeriod):
		}
	}
}

// request waits for a whole reply or for an error, which a process that was killed causes at once.
func (w *replyWatch) request(ctx context.Context, url string) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return
	}
	resp, err := w.client.Do(r)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body) // only the time counts
}

// stop ends the requests and returns the longest times without a reply.
func (w *replyWatch) stop() string {
	w.cancel()
	for range w.urls {
		<-w.done
	}
	w.client.CloseIdleConnections()
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for _, name := range slices.Sorted(maps.Keys(w.longest)) {
		out = append(out, fmt.Sprintf("%s %s", name, w.longest[name].Round(time.Millisecond)))
	}
	return strings.Join(out, ", ")
}
