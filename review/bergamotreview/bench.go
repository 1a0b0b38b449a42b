package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"bergamotspur/io/bergamotfake"
)

// Names of the platform's wire.
const (
	tableOperator = "op"
	rowConfig     = "config"
	tableRunners  = "servers"
	hostName      = "kiosk.example"
	apiKey        = "key-1"
	zoneName      = "zone-a"
)

// Bounds of the settings, those of the small sites.
const (
	contactTime = 3 * time.Second // contactMs
	drainTime   = 2 * time.Second // drainMs
	applyTime   = 2 * time.Second // configApplyMs
	graceTime   = 8 * time.Second // graceS
)

const (
	callWork = 100 * time.Millisecond // of a call at its runner, unless a case sets another time
	// checkMargin is added to the bounds, for the time that a request takes from its caller to a runner.
	checkMargin = 100 * time.Millisecond
)

// bench holds the platform of a case and its record.
type bench struct {
	store        *bergamotfake.MetadataStore
	storeAddress string
	dir          string // temporary folder
	entries      int    // that have been started

	mu      sync.Mutex
	started time.Time
	record  *os.File
	closers []func()
}

func newBench(record string) (*bench, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	b := &bench{store: bergamotfake.NewMetadataStore(), dir: dir, started: time.Now(), record: f}
	server, err := bergamotfake.Listen("127.0.0.1:0", b.store.Handler())
	if err != nil {
		return nil, err
	}
	b.storeAddress = server.Address()
	b.onClose(server.Kill)
	return b, nil
}

// onClose registers a function that close calls, the last one first.
func (b *bench) onClose(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closers = append(b.closers, f)
}

// close ends all that the case has started and removes its files.
func (b *bench) close() {
	for len(b.closers) > 0 {
		last := len(b.closers) - 1
		f := b.closers[last]
		b.closers = b.closers[:last]
		f()
	}
	_ = os.RemoveAll(b.dir) // a folder that stays is in the system's temporary one
	_ = b.record.Close()    // every line has been written
}

// log writes a line with the time since the start of the case to the record and to the standard output.
func (b *bench) log(format string, a ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(b.started).Seconds(), fmt.Sprintf(format, a...))
	_, _ = io.WriteString(b.record, line) // the exit code does not depend on the record
	fmt.Print(line)
}

// configure stores a version of the desired state; the store's answer is its acknowledgement.
func (b *bench) configure(version int, routes []map[string]any, services []map[string]any) time.Time {
	b.store.Put(tableOperator, rowConfig, map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "keepers", "apiKeys": []string{apiKey}}},
	})
	acked := time.Now()
	b.log("operator: desired state %d acknowledged", version)
	return acked
}

// route returns a route for a plain service.
func route(name, prefix, routeType, service string, timeout time.Duration) map[string]any {
	return map[string]any{
		"name": name, "hostname": hostName, "pathPrefix": prefix, "routeType": routeType, "service": service,
		"timeoutMs": timeout.Milliseconds(), "targetLatencyMs": 300, "maxAttempts": 1, "priority": 2,
	}
}

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}
