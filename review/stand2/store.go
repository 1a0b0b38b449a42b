package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the platform's store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r row) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// store is a stand-in for the platform's store. It forgets nothing, and answers at once.
type store struct {
	mu      sync.Mutex
	version int64
	rows    map[string]row
	history []row
	changed chan struct{}
	began   time.Time
	beats   map[string]time.Time // of the runners, by id
}

func newStore() *store {
	return &store{rows: map[string]row{}, changed: make(chan struct{}), began: time.Now(), beats: map[string]time.Time{}}
}

// listen serves the store on a loopback address until the process ends.
func (s *store) listen(address string) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("POST /rows-tx", s.write)
	mux.HandleFunc("POST /beat", s.beat)
	go func() { _ = http.Serve(l, mux) }() // ends with the process
	return l.Addr().String(), nil
}

// apply changes rows in one transaction. The caller holds the lock.
func (s *store) apply(puts, drops []row) {
	s.version++
	for _, r := range puts {
		r.Version = s.version
		s.rows[r.id()] = r
		s.history = append(s.history, r)
	}
	for _, r := range drops {
		delete(s.rows, r.id())
		r.Version, r.Deleted, r.Value = s.version, true, nil
		s.history = append(s.history, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row as the operator does.
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

// beat takes the row of a runner, which it sends again and again.
func (s *store) beat(w http.ResponseWriter, r *http.Request) {
	var value json.RawMessage
	if err := json.NewDecoder(r.Body).Decode(&value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id := r.URL.Query().Get("id")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beats[id] = time.Now()
	s.apply([]row{{Table: "servers", Key: id, Value: value}}, nil)
}

// expire removes the rows of runners that have been silent for three beats, until the process ends.
func (s *store) expire() {
	for range time.Tick(100 * time.Millisecond) {
		s.mu.Lock()
		for id, t := range s.beats {
			if time.Since(t) > 3*beatInterval {
				delete(s.beats, id)
				s.apply(nil, []row{{Table: "servers", Key: id}})
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for _, v := range s.rows {
		if v.Table == q.Get("table") && v.Part == q.Get("part") && v.Key >= q.Get("from") {
			rows = append(rows, v)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	s.reply(w, http.StatusOK, rows)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, errAfter := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, errWait := strconv.Atoi(q.Get("waitMs"))
	if errAfter != nil || errWait != nil {
		http.Error(w, "not a query", http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for expired := false; ; {
		s.mu.Lock()
		rows := []row{}
		first, _ := slices.BinarySearchFunc(s.history, after+1, func(r row, v int64) int { return int(r.Version - v) })
		for _, v := range s.history[first:] {
			if v.Table == q.Get("table") {
				rows = append(rows, v)
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

func (s *store) write(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Conditions []row `json:"precondition"`
		Puts       []row `json:"puts"`
		Drops      []row `json:"delete"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, v := range append(slices.Clone(in.Puts), in.Drops...) {
		if v.Table == "op" || v.Table == "servers" {
			http.Error(w, "not for the system", http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict, current := false, []row{}
	for _, c := range in.Conditions {
		v, ok := s.rows[c.id()]
		conflict = conflict || v.Version != c.Version
		if ok {
			current = append(current, v)
		}
	}
	if conflict {
		s.reply(w, http.StatusPreconditionFailed, current)
		return
	}
	s.apply(in.Puts, in.Drops)
	s.reply(w, http.StatusOK, nil)
}

// reply answers a call. The caller holds the lock.
func (s *store) reply(w http.ResponseWriter, status int, rows []row) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that has gone away misses nothing.
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "hasMore": false, "ver": s.version, "nowMs": time.Since(s.began).Milliseconds() + 1000})
}

// freeAddresses returns addresses of loopback IPs with ports that are free.
func freeAddresses(ips ...string) (out []string, err error) {
	for _, ip := range ips {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, fmt.Errorf("no free port on %s: %w", ip, err)
		}
		defer func() { _ = l.Close() }() // only the port was wanted
		out = append(out, l.Addr().String())
	}
	return out, nil
}
