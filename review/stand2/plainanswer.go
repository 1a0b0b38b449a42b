package main

import (
	"errors"
	"net/http"
	"sync"
	"time"
)

const (
	askers     = 8
	askingTime = 16 * time.Second
	moveAt     = 4 * time.Second
	keptLosses = 3 // that the rule allows
)

var errNotMoved = errors.New("no request was run by the new service")

// movedConfig returns a desired state with a call whose service is given, and another call to the service "app".
func movedConfig(version int, service string) map[string]any {
	c := config(version)
	route := func(name, prefix, service string) any {
		return map[string]any{
			"name": name, "hostname": "boards.example", "pathPrefix": prefix, "routeType": "non_idempotent", "timeoutMs": 5000, "targetLatencyMs": 500,
			"priority": 2, "service": service, "maxAttempts": 1, "public": false,
		}
	}
	c["routes"] = []any{c["routes"].([]any)[0], route("r-quote", "/quote/", service), route("r-pickup", "/once/", "app")}
	return c
}

// plainAnswer moves a call to a service with an engine, whose runners answer it as a whole, with a length. The answer must reach the caller.
func plainAnswer(record string, trouble bool) (err error) {
	s, err := newSite(record)
	if err != nil {
		return err
	}
	defer s.end()
	if err = s.store.put("op", "config", movedConfig(3, "app")); err != nil {
		return err
	}
	var mu sync.Mutex
	ranBy := map[string]string{}
	s.onEvent = func(e event) {
		if e.What == "run" {
			s.note("runner %s (%s): run %s %s", e.Runner, e.Service, e.ID, e.Target)
			mu.Lock()
			ranBy[e.ID] = e.Service
			mu.Unlock()
		}
	}
	if _, _, err = s.startRunners("llm", "llm", "llm", "app", "app"); err != nil {
		return err
	}
	entries, err := s.startEntries(1, "/advice/1", "/quote/1", "/once/1")
	if err != nil {
		return err
	}
	e := entries[0]
	s.note("traffic starts")
	began := time.Now()
	var asked []outcome
	var callers sync.WaitGroup
	for range askers {
		callers.Go(func() {
			for c := newCaller(e.front); time.Since(began) < askingTime; {
				first := c.send("/once/1", 1500*time.Millisecond)
				s.note("answered: %s /once/1, status %d, complete %t", first.id, first.status, first.err == nil)
				if first.status == http.StatusOK && first.err == nil { // the connection is kept
					o := c.send("/quote/1", 5*time.Second)
					s.note("answered: %s /quote/1 on the kept connection, status %d, complete %t, %d bytes", o.id, o.status, o.err == nil, len(o.body))
					mu.Lock()
					asked = append(asked, o)
					mu.Unlock()
				}
				<-time.After(300 * time.Millisecond)
			}
		})
	}
	<-time.After(moveAt)
	if trouble {
		if err = s.store.put("op", "config", movedConfig(9, "llm")); err != nil {
			return err
		}
		s.note("version 9 is acknowledged: the route /quote/ leads to a service with an engine")
	}
	callers.Wait()
	<-time.After(300 * time.Millisecond) // for the last lines of the runners
	lost, whole, moved := 0, 0, 0
	for _, o := range asked {
		if ranBy[o.id] == "llm" {
			moved++
		}
		switch {
		case o.err == nil && o.status == http.StatusOK && o.body == onceBody(o.id):
			whole++
		case o.err != nil && ranBy[o.id] != "":
			lost++
			s.note("LOST: %s was run by a runner of %s; its kept connection was closed with status %d and %d bytes: %v", o.id, ranBy[o.id], o.status, len(o.body), o.err)
		default:
			s.note("not served: %s, status %d, %v", o.id, o.status, o.err)
		}
	}
	s.note("%d requests on kept connections: %d whole, %d run by the new service, %d run and their connection closed without an answer (%d are allowed)", len(asked), whole, moved, lost, keptLosses)
	switch {
	case lost > keptLosses:
		return errBroken
	case trouble && moved == 0:
		return errNotMoved
	}
	return nil
}
