package main

import (
	"errors"
	"fmt"
	"time"
)

// playForeignEntry lets another writer put an entry into the list of runners that lacks fields and has the address of a runner of the same
// service with less memory.
func playForeignEntry(d *deployment, trouble bool) (string, error) {
	var err error
	if d.store, err = newStore(); err != nil {
		return "", err
	}
	if err = d.store.put("op", "config", desiredState()); err != nil {
		return "", err
	}
	var runners []*runner
	for n, k := range []kind{largeKind, smallKind, smallKind, smallKind, smallKind, tinyKind, tinyKind} {
		r, err := d.startRunner(fmt.Sprint("advice-", 1+n), "advice", "z-a", k, "", 0)
		if err != nil {
			return "", err
		}
		runners = append(runners, r)
	}
	for n, zone := range []string{"z-a", "z-b"} {
		if _, err = d.startEntry(n, zone); err != nil {
			return "", err
		}
	}
	if err = d.waitServed(d.askStream); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)
	// It writes its entry within its first interval.
	added, err := d.startRunner("advice-8", "advice", "z-a", tinyKind, "", heartbeat-50*time.Millisecond)
	if err != nil {
		return "", err
	}
	runners = append(runners, added)
	if trouble {
		// It has neither version nor coldRemainingMs nor seq.
		foreign := map[string]any{
			"service": "advice", "address": added.address, "zone": "z-a", "slots": 192, "state": "ready", "born": time.Now().UnixMilli(),
			"routeType": largeKind.name,
		}
		if err = d.store.put("servers", "foreign-1", foreign); err != nil {
			return "", err
		}
		d.record.write("writer", "another writer has put the entry foreign-1: %v", foreign)
	}
	time.Sleep(8 * time.Second)
	for _, r := range runners {
		if cause := r.crashCause(); cause != "" {
			return fmt.Sprintf("LIMIT: %s holds %d layers at most and was ordered %s because of the entry foreign-1", r.id, r.kind.layers, cause), nil
		}
	}
	if from, to := runners[0].held(); to-from != modelLayers {
		return "", errors.New("no layers were placed at advice-1")
	}
	return "", nil
}
