package bergamotfake

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Rows is the stand-in of the platform's metadata store: rows in tables with one version counter and a feed of changes.
type Rows struct {
	Faults Faults

	mu      sync.Mutex
	version int64
	rows    map[string]PlatformRow
	log     []PlatformRow
	oldest  int64 // changes up to this version are forgotten
	changed chan struct{}
	late    time.Duration
	began   time.Time
}

// PlatformRow is a row as the store's messages show it.
type PlatformRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r PlatformRow) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// NewRows returns an empty store.
func NewRows() *Rows {
	return &Rows{rows: map[string]PlatformRow{}, changed: make(chan struct{}), began: time.Now()}
}

// Put writes a row as the operator or a runner does.
func (s *Rows) Put(table, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // a test passes a value that JSON cannot hold
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]PlatformRow{{Table: table, Key: key, Value: text}}, nil)
}

// Remove deletes a row as the platform does when a runner has left.
func (s *Rows) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []PlatformRow{{Table: table, Key: key}})
}

// DropHistory forgets all changes so far.
func (s *Rows) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log, s.oldest = nil, s.version
}

// SetLate makes writes take effect only after a time, with no answer before it.
func (s *Rows) SetLate(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late = d
}

// Handler returns the HTTP interface with the faults.
func (s *Rows) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("POST /rows-tx", s.write)
	return s.Faults.Wrap(mux)
}

func (s *Rows) apply(puts, deletes []PlatformRow) {
	s.version++
	for _, r := range puts {
		r.Version = s.version
		s.rows[r.id()] = r
		s.log = append(s.log, r)
	}
	for _, r := range deletes {
		delete(s.rows, r.id())
		r.Version, r.Deleted, r.Value = s.version, true, nil
		s.log = append(s.log, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Rows) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []PlatformRow{}
	for _, row := range s.rows {
		if row.Table == q.Get("table") && row.Part == q.Get("part") && row.Key >= q.Get("from") {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b PlatformRow) int { return strings.Compare(a.Key, b.Key) })
	s.answer(w, http.StatusOK, rows)
}

func (s *Rows) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	// A number that cannot be read is 0, as at the platform.
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.oldest {
			s.answer(w, http.StatusGone, nil)
			s.mu.Unlock()
			return
		}
		rows := []PlatformRow{}
		for _, row := range s.log {
			if row.Table == q.Get("table") && row.Version > after {
				rows = append(rows, row)
			}
		}
		changed := s.changed
		if len(rows) > 0 {
			s.answer(w, http.StatusOK, rows)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			s.mu.Lock()
			s.answer(w, http.StatusOK, rows)
			s.mu.Unlock()
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Rows) write(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Conditions []PlatformRow `json:"precondition"`
		Puts       []PlatformRow `json:"puts"`
		Deletes    []PlatformRow `json:"delete"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	late := s.late
	s.mu.Unlock()
	if late > 0 {
		<-time.After(late)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := []PlatformRow{}
	for _, c := range in.Conditions {
		if row, ok := s.rows[c.id()]; row.Version != c.Version {
			if ok {
				current = append(current, row)
			}
			s.answer(w, http.StatusPreconditionFailed, current)
			return
		}
	}
	s.apply(in.Puts, in.Deletes)
	s.answer(w, http.StatusOK, nil)
}

func (s *Rows) answer(w http.ResponseWriter, status int, rows []PlatformRow) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that has gone away needs no answer.
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "hasMore": false, "ver": s.version, "nowMs": time.Since(s.began).Milliseconds(),
	})
}
