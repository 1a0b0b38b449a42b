package bergamotdetour

import (
	"sync"
	"time"
)

const (
	// helpPause is the time without a connection after which the next one between two entries begins a new help.
	helpPause = 5 * time.Second
	// maxRecorded is more than the number of entries that help one entry, or are helped by it, at a time.
	maxRecorded = 1024
)

// Record knows the entries that have lately helped this one, or that it has helped, so that the log names each begin and not each
// connection. It may be used concurrently.
type Record struct {
	mu   sync.Mutex
	last map[string]time.Time // time of the last connection, by entry
}

// Begins records a connection with an entry and reports whether there was none for helpPause.
func (r *Record) Begins(entry string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	last, known := r.last[entry]
	if r.last == nil || len(r.last) >= maxRecorded {
		r.last = map[string]time.Time{}
	}
	r.last[entry] = now
	return !known || now.Sub(last) >= helpPause
}
