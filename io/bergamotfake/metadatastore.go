package bergamotfake

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// A MetadataStore is a fake of the platform's metadata store: rows in tables with one version counter and a feed of changes.
type MetadataStore struct {
	Faults Faults

	mu               sync.Mutex
	version          int64 // version of the latest change
	rows             map[string]MetadataRow
	history          []MetadataRow // changes, oldest first
	forgottenVersion int64         // changes up to this version are no longer in the history
	changed          chan struct{} // closed and replaced at each change
	restored         chan struct{} // closed and replaced at each restore
	writeDelay       time.Duration
	startTime        time.Time

	era   atomic.Int64 // number of restores
	feeds atomic.Int64 // feeds in progress
}

// A MetadataRow is a row in the messages of the store.
type MetadataRow struct {
	Table     string `json:"table"`
	Partition string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Version   int64  `json:"ver"`
	Deleted   bool   `json:"deleted,omitempty"`
}

func (r MetadataRow) id() string { return r.Table + "\x00" + r.Partition + "\x00" + r.Key }

// NewMetadataStore returns an empty store.
func NewMetadataStore() *MetadataStore {
	return &MetadataStore{
		rows: map[string]MetadataRow{}, changed: make(chan struct{}), restored: make(chan struct{}), startTime: time.Now(),
	}
}

// Put writes a row, as operators and runners do; it panics if value cannot be encoded as JSON.
func (s *MetadataStore) Put(table, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.PutBytes(table, key, text)
}

// PutBytes writes a row whose value need not be JSON.
func (s *MetadataStore) PutBytes(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]MetadataRow{{Table: table, Key: key, Value: value}}, nil)
}

// Remove deletes a row, as the platform does after a runner has left.
func (s *MetadataStore) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []MetadataRow{{Table: table, Key: key}})
}

// DropHistory drops all changes so far, so that a feed that asks for one of them gets status 410.
func (s *MetadataStore) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.forgottenVersion = nil, s.version
}

// SetWriteDelay delays every write; its caller gets the answer after the write.
func (s *MetadataStore) SetWriteDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeDelay = d
}

// Handler returns the HTTP interface with the faults. Each answer names the era of the store.
func (s *MetadataStore) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("POST /rows-tx", s.write)
	h := s.Faults.Wrap(mux)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { h.ServeHTTP(eraWriter{w, &s.era}, r) })
}

func (s *MetadataStore) apply(puts, deletes []MetadataRow) {
	s.version++
	for _, r := range puts {
		r.Version = s.version
		s.rows[r.id()] = r
		s.history = append(s.history, r)
	}
	for _, r := range deletes {
		delete(s.rows, r.id())
		r.Version, r.Deleted, r.Value = s.version, true, nil
		s.history = append(s.history, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *MetadataStore) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []MetadataRow{}
	for _, row := range s.rows {
		if row.Table == q.Get("table") && row.Partition == q.Get("part") && row.Key >= q.Get("from") {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b MetadataRow) int { return strings.Compare(a.Key, b.Key) })
	s.writeReply(w, http.StatusOK, rows)
}

func (s *MetadataStore) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	// An invalid number counts as 0, as on the platform.
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	restored := s.restored
	s.mu.Unlock()
	s.feeds.Add(1)
	defer s.feeds.Add(-1)
	for expired := false; ; {
		s.mu.Lock()
		if restored != s.restored {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if after < s.forgottenVersion || after > s.version {
			s.writeReply(w, http.StatusGone, nil)
			s.mu.Unlock()
			return
		}
		rows := []MetadataRow{}
		for _, row := range s.history {
			if row.Table == q.Get("table") && row.Version > after {
				rows = append(rows, row)
			}
		}
		changed := s.changed
		if len(rows) > 0 || expired {
			s.writeReply(w, http.StatusOK, rows)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-restored:
		case <-timeout:
			// The reply names the newest version, so it must have the changes that were made meanwhile.
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *MetadataStore) write(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Conditions []MetadataRow `json:"precondition"`
		Puts       []MetadataRow `json:"puts"`
		Deletes    []MetadataRow `json:"delete"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	writeDelay := s.writeDelay
	s.mu.Unlock()
	if writeDelay > 0 {
		<-time.After(writeDelay)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := []MetadataRow{}
	for _, c := range in.Conditions {
		if row, ok := s.rows[c.id()]; row.Version != c.Version {
			if ok {
				current = append(current, row)
			}
			s.writeReply(w, http.StatusPreconditionFailed, current)
			return
		}
	}
	s.apply(in.Puts, in.Deletes)
	s.writeReply(w, http.StatusOK, nil)
}

func (s *MetadataStore) writeReply(w http.ResponseWriter, status int, rows []MetadataRow) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write is ignored: the caller may have closed its connection.
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "hasMore": false, "ver": s.version, "nowMs": time.Since(s.startTime).Milliseconds(),
	})
}
