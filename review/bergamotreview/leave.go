package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	leaveCallers = 96                     // kept connections
	prefillTime  = 400 * time.Millisecond // from the start of a run to its first event, within targetLatencyMs
	leaveEvents  = 10
	// leaveRunners is the smallest number of which one is no more than the largest scale_in of the small sites, 0.13.
	leaveRunners = 8
	// lostAllowed is the number of lost requests that the rule allows.
	lostAllowed = 3
)

// streamResult is what a caller has seen of a stream.
type streamResult struct {
	id     string
	kept   bool // it was not the first request of its connection
	ended  time.Time
	status int
	events int
	err    string // empty for a complete stream or another complete answer
}

// keptStreams requests streams one after another on one connection until ctx ends, on a new one after each that has ended early.
func keptStreams(ctx context.Context, address, name string, report func(streamResult)) {
	var conn net.Conn
	var reader *bufio.Reader
	onConn := 0
	for n := 0; ctx.Err() == nil; n++ {
		if conn == nil {
			c, err := net.DialTimeout("tcp", address, time.Second)
			if err != nil {
				return
			}
			conn, reader, onConn = c, bufio.NewReader(c), 0
		}
		result := streamResult{id: fmt.Sprintf("%s-%d", name, n), kept: onConn > 0}
		onConn++
		_ = conn.SetDeadline(time.Now().Add(20 * time.Second)) // it fails only on a closed connection
		_, err := fmt.Fprintf(conn, "POST /draft/1 HTTP/1.1\r\nHost: %s\r\nX-Bergamotspur-Attempt-Id: %s\r\nX-Bergamotspur-Deadline-Ms: 20000\r\n"+
			"X-Bergamotspur-Model: m\r\nX-Bergamotspur-Token-Count: 100,20\r\nAuthorization: Token %s\r\nContent-Length: 2\r\n\r\n{}", hostName, result.id, apiKey)
		if err == nil {
			var resp *http.Response
			if resp, err = http.ReadResponse(reader, nil); err == nil {
				result.status = resp.StatusCode
				for lines := bufio.NewScanner(resp.Body); ; {
					if !lines.Scan() {
						err = lines.Err()
						break
					}
					if strings.HasPrefix(lines.Text(), "id:") {
						result.events++
					}
				}
			}
		}
		result.ended = time.Now()
		if err != nil {
			result.err = err.Error()
			_ = conn.Close() // it is of no use any more
			conn = nil
		}
		report(result)
	}
	if conn != nil {
		_ = conn.Close() // all requests have ended
	}
}

// playLeave removes the entry of a model runner that serves on, and checks that the streams which the runner has begun are not
// broken off.
func playLeave(ctx context.Context, b *bench, trouble bool) (broken []string, err error) {
	g := newGate()
	var runners []*modelRunner
	for n := range leaveRunners {
		r := &modelRunner{id: fmt.Sprintf("i-card%03d", n), born: time.Now().UnixMilli(), prefill: prefillTime, events: leaveEvents, bench: b}
		if err := r.start(b, g); err != nil {
			return nil, err
		}
		runners = append(runners, r)
	}
	stream := route("draft", "/draft/", "streaming", "assistant", 20*time.Second)
	stream["targetGapMs"], stream["targetLatencyMs"] = 200, 500
	b.configure(3, []map[string]any{stream}, []map[string]any{assistant()})
	e, err := b.startEntry(ctx, b.storeAddress)
	if err != nil {
		return nil, err
	}
	time.Sleep(contactTime)
	var mu sync.Mutex
	var wait sync.WaitGroup
	var results []streamResult
	calling, cancel := context.WithCancel(ctx)
	defer cancel()
	for n := range leaveCallers {
		wait.Go(func() {
			time.Sleep(time.Duration(n) * 10 * time.Millisecond)
			keptStreams(calling, e.front, fmt.Sprintf("draft-%d", n), func(r streamResult) {
				b.log("caller: %s status %d events %d %s", r.id, r.status, r.events, r.err)
				mu.Lock()
				defer mu.Unlock()
				results = append(results, r)
			})
		})
	}
	time.Sleep(5 * time.Second)
	left := time.Now()
	if trouble {
		b.store.Remove(tableRunners, runners[0].id)
		b.log("store: the entry of %s is removed; it serves on", runners[0].id)
	}
	time.Sleep(5 * time.Second)
	cancel()
	wait.Wait()
	for _, r := range results {
		if runner, ran := runners[0].finished(r.id); r.kept && r.err != "" && r.events == 0 && ran {
			broken = append(broken, fmt.Sprintf("%s on a kept connection was passed on to %s, which serves on (%s); its connection was closed without an event %.2f s after the removal",
				r.id, runners[0].id, runner, r.ended.Sub(left).Seconds()))
		}
	}
	if len(broken) <= lostAllowed {
		b.log("%d requests were lost, as the rule allows", len(broken))
		return nil, nil
	}
	return broken, nil
}
