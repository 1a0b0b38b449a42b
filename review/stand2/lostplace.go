package main

import (
	"errors"
	"net/http"
	"sync"
	"time"
)

const (
	readers     = 60
	readingTime = 20 * time.Second
	killAt      = 6 * time.Second
	downTime    = 3500 * time.Millisecond
	textWeight  = 30 // of 100
)

var errNothingResumed = errors.New("no stream was resumed")

// splitConfig returns a desired state whose stream goes to a service with an engine or to one without.
func splitConfig(version int) map[string]any {
	c := config(version)
	c["routes"] = []any{map[string]any{
		"name": "r-advice", "hostname": "boards.example", "pathPrefix": "/advice/", "routeType": "streaming", "timeoutMs": 20000, "targetLatencyMs": 500, "priority": 1,
		"trafficSplit": []any{map[string]any{"service": "llm", "weight": 100 - textWeight}, map[string]any{"service": "texts", "weight": textWeight}},
		"maxAttempts":  2, "public": false, "sticky": true, "resumable": true, "targetGapMs": 200,
	}}
	services := c["services"].([]any)
	c["services"] = []any{services[0], map[string]any{"name": "texts", "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false}}
	return c
}

// reading is a stream that a caller has read, with what it asked for after its connection broke.
type reading struct {
	first, second outcome
	resumed       bool
}

// lostPlace kills an entry while callers read streams. What they get when they resume them at another entry must go on after the last event that
// they have.
func lostPlace(record string, trouble bool) (err error) {
	s, err := newSite(record)
	if err != nil {
		return err
	}
	defer s.end()
	if err = s.store.put("op", "config", splitConfig(3)); err != nil {
		return err
	}
	s.onEvent = func(e event) {
		if e.What == "run" {
			s.note("runner %s (%s): run %s after event %q", e.Runner, e.Service, e.ID, e.After)
		}
	}
	if _, _, err = s.startRunners("llm", "llm", "llm", "texts", "texts"); err != nil {
		return err
	}
	entries, err := s.startEntries(2, "/advice/1", "/advice/1", "/advice/1", "/advice/1") // both services
	if err != nil {
		return err
	}
	s.note("traffic starts")
	began := time.Now()
	var readings []reading
	var mu sync.Mutex
	var callers sync.WaitGroup
	for n := range readers {
		callers.Go(func() {
			for time.Since(began) < readingTime {
				r := s.read(entries[n%2], entries[1-n%2])
				mu.Lock()
				readings = append(readings, r)
				mu.Unlock()
				if r.first.status != http.StatusOK {
					<-time.After(200 * time.Millisecond)
				}
			}
		})
	}
	<-time.After(killAt)
	if trouble {
		s.note("%s is killed", entries[0].name)
		entries[0].kill()
		<-time.After(downTime)
		if err = s.startEntry(entries[0]); err != nil {
			return err
		}
	}
	callers.Wait()
	return judgePlaces(s, readings, trouble)
}

// read reads a stream at an entry and, if the connection breaks after an event, goes on at another one after the last event that it has.
func (s *site) read(at, other *entry) (r reading) {
	r.first = newCaller(at.front).send("/advice/1", 20*time.Second)
	s.note("answered: %s, status %d, %d events, complete %t", r.first.id, r.first.status, len(r.first.pieces), r.first.err == nil)
	if r.first.status != http.StatusOK || r.first.err == nil || len(r.first.pieces) == 0 {
		return r
	}
	r.resumed = true
	last := r.first.pieces[len(r.first.pieces)-1]
	r.second = newCaller(other.front).sendAfter("/advice/1", 20*time.Second, last)
	s.note("answered: %s, which goes on with %s after event %d, status %d, stamp %s, events %v", r.second.id, r.first.id, last, r.second.status, r.second.stamp, r.second.pieces)
	return r
}

// judgePlaces writes to the record which of the resumed streams have events that their callers had.
func judgePlaces(s *site, readings []reading, trouble bool) error {
	resumed, again, short := 0, 0, 0
	for _, r := range readings {
		if r.first.isShort() {
			short++
			s.note("BROKEN: the stream %s lacks events", r.first.id)
		}
		if !r.resumed || r.second.status != http.StatusOK || len(r.second.pieces) == 0 {
			continue
		}
		resumed++
		if last := r.first.pieces[len(r.first.pieces)-1]; r.second.pieces[0] <= last {
			again++
			s.note("BROKEN: %s was asked to go on after event %d of %s and begins with event %d (stamp %s)", r.second.id, last, r.first.id, r.second.pieces[0], r.second.stamp)
		}
	}
	s.note("%d streams, %d resumed by their callers: %d of these have events twice; %d others lack events", len(readings), resumed, again, short)
	switch {
	case again+short > 0:
		return errBroken
	case trouble && resumed == 0:
		return errNothingResumed
	}
	return nil
}
