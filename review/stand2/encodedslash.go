package main

import (
	"errors"
	"time"
)

// The paths that the callers send. Those below "/files/" belong to the service "files"; only a path that begins with "/files/payout/" as it is
// sent belongs to the service "ledger" once the new version is in force.
var encodedPaths = []string{"/files/offers%2F3", "/files/payout%2F7", "/files/payout%2F7/lines", "/files/payout%2f7"}

const (
	plainPath  = "/files/offers/3"
	ledgerPath = "/files/payout/7"
	rounds     = 25
)

var errNotInForce = errors.New("the new version is not in force in time")

// filesConfig returns a desired state with a route for files and, from its second version on, one for payouts below it.
func filesConfig(version int) map[string]any {
	c := config(version)
	route := func(name, prefix, service string) any {
		return map[string]any{
			"name": name, "hostname": "boards.example", "pathPrefix": prefix, "routeType": "non_idempotent", "timeoutMs": 800, "targetLatencyMs": 300,
			"priority": 2, "service": service, "maxAttempts": 1, "public": false,
		}
	}
	routes := []any{route("r-files", "/files/", "files")}
	if version > 3 {
		routes = append(routes, route("r-payout", "/files/payout/", "ledger"))
	}
	c["routes"] = routes
	service := func(name string) any {
		return map[string]any{"name": name, "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false}
	}
	c["services"] = []any{service("files"), service("ledger")}
	return c
}

// encodedSlash adds a route whose prefix begins no path that the callers send, but some that they would be with %2F as a slash.
func encodedSlash(record string, trouble bool) (err error) {
	s, err := newSite(record)
	if err != nil {
		return err
	}
	defer s.end()
	if err = s.store.put("op", "config", filesConfig(3)); err != nil {
		return err
	}
	ran := make(chan event, 4096)
	s.onEvent = func(e event) {
		if e.What == "run" {
			s.note("runner %s (%s): run %s %s", e.Runner, e.Service, e.ID, e.Target)
			ran <- e
		}
	}
	if _, _, err = s.startRunners("files", "files", "ledger", "ledger"); err != nil {
		return err
	}
	entries, err := s.startEntries(2, plainPath)
	if err != nil {
		return err
	}
	if trouble {
		if err = s.store.put("op", "config", filesConfig(9)); err != nil {
			return err
		}
		s.note("version 9 is acknowledged: a route /files/payout/ to the service ledger is added")
	}
	<-time.After(3 * time.Second) // configApplyMs is 2 s
	return s.judgeServices(entries, ran, trouble)
}

// judgeServices sends requests and writes to the record which of them a service has run that no desired state allows.
func (s *site) judgeServices(entries []*entry, ran <-chan event, trouble bool) error {
	want := map[string]string{}
	for n := range rounds {
		c := newCaller(entries[n%len(entries)].front)
		for _, path := range append([]string{plainPath, ledgerPath}, encodedPaths...) {
			service := "files"
			if path == ledgerPath && trouble {
				service = "ledger"
			}
			o := c.send(path, 1500*time.Millisecond)
			want[o.id] = service
			s.note("answered: %s %s, status %d, complete %t", o.id, path, o.status, o.err == nil)
		}
	}
	<-time.After(500 * time.Millisecond) // for the last lines of the runners
	wrong, right, added := 0, 0, 0
	for len(ran) > 0 {
		e := <-ran
		service, known := want[e.ID]
		switch {
		case !known: // from before the new version
		case service != e.Service:
			wrong++
			s.note("BROKEN: %s was run by a runner of %s as %s; only %s may run it", e.ID, e.Service, e.Target, service)
		default:
			right++
			if service == "ledger" {
				added++
			}
		}
	}
	s.note("%d requests: %d run by their service, %d of these by the added route, %d by a service that no desired state allows", len(want), right, added, wrong)
	switch {
	case wrong > 0:
		return errBroken
	case trouble && added == 0:
		return errNotInForce
	}
	return nil
}
