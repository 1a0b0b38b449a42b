package main

import (
	"errors"
	"fmt"
	"time"
)

// Layers of the models, each of 1,000 MB.
const (
	modelLayers = 8
	notesLayers = 15
)

// notesRunners is the number of runners with which the model of the second service doesn't fit yet.
const notesRunners = 7

var (
	tinyKind  = kind{name: "tiny", layers: 1}
	smallKind = kind{name: "small", layers: 2}
	largeKind = kind{name: "large", layers: 8}
)

// reuseAfter is reuseAfterS of the settings.
const reuseAfter = 2 * time.Second

// desiredState has two services with a model each.
func desiredState() map[string]any {
	engine := func(model string, layers int) map[string]any {
		kinds := []any{}
		for _, k := range []kind{tinyKind, smallKind, largeKind} {
			// Room for the layers and for the requests that pass through them.
			kinds = append(kinds, map[string]any{"name": k.name, "sizeMb": float64(k.layers)*1000 + 900, "pace": 1.0, "readFactor": 1.0})
		}
		return map[string]any{
			"slots": 192, "kvCapacityTokens": 100000, "kvBytes": 8000, "linkMbps": 480000.0, "stride": 2, "step_ms": 0.85, "chunk": 512,
			"models": []any{map[string]any{"name": model, "pace": 1.0, "loadS": 1.0}}, "usual": map[string]int{"prompt": 100, "answer": 100},
			"layers": layers, "layerMb": 1000.0, "actBytes": 29500, "pipeMbps": 11000.0, "kinds": kinds, "read_per_s": 196000.0,
		}
	}
	route := func(name, prefix, service string) map[string]any {
		return map[string]any{
			"name": name, "hostname": "h.example", "pathPrefix": prefix, "routeType": "streaming", "service": service, "timeoutMs": 20000,
			"targetLatencyMs": 500, "targetGapMs": 200, "priority": 1, "maxAttempts": 2, "public": false, "sticky": true, "resumable": true,
		}
	}
	return map[string]any{
		"version": 3,
		"routes": []any{
			route("advice", "/advice/", "advice"), route("notes", "/notes/", "notes"),
			map[string]any{
				"name": "pickup", "hostname": "h.example", "pathPrefix": "/pickup/", "routeType": "non_idempotent", "service": appService,
				"timeoutMs": 800, "targetLatencyMs": 300, "priority": 2, "maxAttempts": 1, "public": false,
			},
		},
		"services": []any{
			map[string]any{"name": "advice", "healthPath": "/health", "maxConns": 1000, "engine": engine("m-advice", modelLayers)},
			map[string]any{"name": "notes", "healthPath": "/health", "maxConns": 1000, "engine": engine("m-notes", notesLayers)},
			map[string]any{"name": appService, "healthPath": "/health", "maxConns": 110},
		},
		"limits":  map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "kitchen", "apiKeys": []string{"key-1"}, "priority": 1}},
	}
}

// playReusedAddress lets the address of a crashed runner that held no layers yet be used by a runner of another service, and starts the runner
// with which the others of its service can hold their model.
func playReusedAddress(d *deployment, trouble bool) (string, error) {
	var err error
	if d.store, err = newStore(); err != nil {
		return "", err
	}
	if err = d.store.put("op", "config", desiredState()); err != nil {
		return "", err
	}
	full, err := d.startRunner("advice-1", "advice", "z-a", largeKind, "", 0)
	if err != nil {
		return "", err
	}
	var notes *runner // the first of its service
	for n := range notesRunners {
		r, err := d.startRunner(fmt.Sprint("notes-", 1+n), "notes", "z-a", smallKind, "", 0)
		if err != nil {
			return "", err
		}
		if notes == nil {
			notes = r
		}
	}
	for n, zone := range []string{"z-a", "z-b"} {
		if _, err = d.startEntry(n, zone); err != nil {
			return "", err
		}
	}
	for begin := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		if from, to := full.held(); from == 0 && to == modelLayers {
			break
		}
		if time.Since(begin) > 20*time.Second {
			return "", errors.New("no layers were placed at advice-1")
		}
	}
	time.Sleep(3 * time.Second)
	address := ""
	if trouble {
		notes.crash()
		address = notes.address
	}
	time.Sleep(reuseAfter - 300*time.Millisecond)
	if _, err = d.startRunner(fmt.Sprint("notes-", 1+notesRunners), "notes", "z-a", smallKind, "", 0); err != nil {
		return "", err
	}
	time.Sleep(350 * time.Millisecond)
	// It writes its entry within its first interval.
	other, err := d.startRunner("advice-2", "advice", "z-a", tinyKind, address, heartbeat-50*time.Millisecond)
	if err != nil {
		return "", err
	}
	time.Sleep(8 * time.Second)
	if cause := other.crashCause(); cause != "" {
		return fmt.Sprintf("LIMIT: advice-2 holds %d layer at most and was ordered %s, which was meant for notes-1", tinyKind.layers, cause), nil
	}
	return "", nil
}
