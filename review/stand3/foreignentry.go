package main

import (
	"fmt"
	"time"
)

// playForeignEntry lets another writer put an entry into the list of runners that lacks fields and has the address of a runner of another
// service.
func playForeignEntry(d *deployment, trouble bool) (string, error) {
	var err error
	if d.store, err = newStore(); err != nil {
		return "", err
	}
	if err = d.store.put("op", "config", desiredState()); err != nil {
		return "", err
	}
	for n := range notesRunners {
		if _, err = d.startRunner(fmt.Sprint("notes-", 1+n), "notes", "z-a", smallKind, "", 0); err != nil {
			return "", err
		}
	}
	other, err := d.startRunner("drafts-1", "drafts", "z-a", tinyKind, "", 0)
	if err != nil {
		return "", err
	}
	for n, zone := range []string{"z-a", "z-b"} {
		if _, err = d.startEntry(n, zone); err != nil {
			return "", err
		}
	}
	time.Sleep(6 * time.Second)
	if trouble {
		// It has neither version nor coldRemainingMs nor seq.
		foreign := map[string]any{
			"service": "notes", "address": other.address, "zone": "z-a", "slots": 192, "state": "ready", "born": time.Now().UnixMilli() - 60000,
			"routeType": smallKind.name,
		}
		if err = d.store.put("servers", "foreign-1", foreign); err != nil {
			return "", err
		}
		d.record.write("writer", "another writer has put the entry foreign-1: %v", foreign)
	}
	time.Sleep(8 * time.Second)
	if cause := other.crashCause(); cause != "" {
		return fmt.Sprintf("LIMIT: drafts-1 holds %d layer at most and was ordered %s because of the entry foreign-1", tinyKind.layers, cause), nil
	}
	return "", nil
}
