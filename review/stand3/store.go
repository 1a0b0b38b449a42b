package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row in the messages of the platform's store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r row) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// store is a stand-in of the platform's store.
type store struct {
	address string
	begin   time.Time

	mu      sync.Mutex
	ver     int64
	rows    map[string]row
	history []row
	changed chan struct{}
}

func newStore() (*store, error) {
	s := &store{begin: time.Now(), rows: map[string]row{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("POST /rows-tx", s.transaction)
	mux.HandleFunc("POST "+registerPath+"{id}", s.register)
	server, err := serveAt("127.0.0.1:0", mux)
	if err != nil {
		return nil, err
	}
	s.address = server.listener.Addr().String()
	return s, nil
}

// registerPath is where runners in processes of their own register. Entries do not know it.
const registerPath = "/stand-in/servers/"

func (s *store) register(w http.ResponseWriter, r *http.Request) {
	var value json.RawMessage
	if json.NewDecoder(r.Body).Decode(&value) != nil || s.put("servers", r.PathValue("id"), value) != nil {
		w.WriteHeader(http.StatusBadRequest)
	}
}

// put writes a row as the operator and the runners do.
func (s *store) put(table, key string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: text}}, nil)
	return nil
}

// remove drops a row, as the platform does after a runner was silent for three intervals.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []row{{Table: table, Key: key}})
}

func (s *store) apply(puts, deletes []row) {
	s.ver++
	for _, r := range puts {
		r.Ver = s.ver
		s.rows[r.id()] = r
		s.history = append(s.history, r)
	}
	for _, r := range deletes {
		delete(s.rows, r.id())
		s.history = append(s.history, row{Table: r.Table, Part: r.Part, Key: r.Key, Ver: s.ver, Deleted: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for _, x := range s.rows {
		if x.Table == q.Get("table") && x.Part == q.Get("part") && x.Key >= q.Get("from") {
			rows = append(rows, x)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	s.reply(w, http.StatusOK, rows)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("waitMs"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for expired := false; ; {
		s.mu.Lock()
		rows := []row{}
		for _, x := range s.history {
			if x.Table == q.Get("table") && x.Ver > after {
				rows = append(rows, x)
			}
		}
		changed := s.changed
		if len(rows) > 0 || expired {
			s.reply(w, http.StatusOK, rows)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transaction(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Conditions []row `json:"precondition"`
		Puts       []row `json:"puts"`
		Deletes    []row `json:"delete"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, conflict := []row{}, false
	for _, c := range in.Conditions {
		x, ok := s.rows[c.id()]
		if ok {
			current = append(current, x)
		}
		conflict = conflict || x.Ver != c.Ver
	}
	if conflict {
		s.reply(w, http.StatusPreconditionFailed, current)
		return
	}
	s.apply(in.Puts, in.Deletes)
	s.reply(w, http.StatusOK, []row{})
}

// reply writes an answer; the caller holds the lock.
func (s *store) reply(w http.ResponseWriter, status int, rows []row) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The entry may have gone away.
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "hasMore": false, "ver": s.ver, "nowMs": time.Since(s.begin).Milliseconds()})
}
