package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// contactTime is contactMs of the settings.
	contactTime = 3 * time.Second
	// restartDelay is after which time a crashed runner is back.
	restartDelay = 3 * time.Second
	// maxLateRetries is how many retries may reach runners after the third crash and contactTime.
	maxLateRetries = 3
	repeatInterval = 1500 * time.Millisecond
	eventRepeats   = 24
	deadlyPath     = "/advice/deadly"
)

// deadlyRuns records on which runners the deadly request has begun to run, and which have crashed on it.
type deadlyRuns struct {
	mu      sync.Mutex
	crashes []time.Time
	arrived []time.Time
}

// add records a run on which the runner crashes.
func (d *deadlyRuns) add() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.arrived, d.crashes = append(d.arrived, time.Now()), append(d.crashes, time.Now())
}

// late returns how many runs began later than contactTime after the third crash.
func (d *deadlyRuns) late() (n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.crashes) < 3 {
		return 0
	}
	for _, t := range d.arrived {
		if t.Sub(d.crashes[2]) > contactTime {
			n++
		}
	}
	return n
}

// playCrashAfterEvent sends a request again and again that makes each runner crash when it has begun to run it, right after its first event.
// With WHEN=before the crash comes before that event.
func playCrashAfterEvent(d *deployment, trouble bool) (string, error) {
	var err error
	if d.store, err = newStore(); err != nil {
		return "", err
	}
	if err = d.store.put("op", "config", desiredState()); err != nil {
		return "", err
	}
	runs := &deadlyRuns{}
	onRun := func(r *runner, q *http.Request, next func()) bool {
		if q.URL.Path != deadlyPath {
			return true
		}
		d.record.write(r.id, "begins to run %s (%s), Last-Event-Id %q", q.URL.Path, q.Header.Get("X-Bergamotspur-Attempt-Id"), q.Header.Get("Last-Event-Id"))
		runs.mu.Lock()
		runs.arrived = append(runs.arrived, time.Now())
		runs.mu.Unlock()
		if !trouble {
			return true
		}
		if os.Getenv("WHEN") != "before" {
			next()
		}
		time.Sleep(20 * time.Millisecond)
		if r.end() {
			runs.mu.Lock()
			runs.crashes = append(runs.crashes, time.Now())
			runs.mu.Unlock()
			time.AfterFunc(restartDelay, func() {
				if err := r.start(0); err != nil {
					d.record.write(r.id, "not started again: %v", err)
				}
			})
		}
		return false
	}
	var runners []*runner
	for n := range 8 {
		r, err := d.startRunner(fmt.Sprint("advice-", n), "advice", []string{"z-a", "z-b"}[n%2], largeKind, "", 0)
		if err != nil {
			return "", err
		}
		r.onRun = onRun
		runners = append(runners, r)
	}
	for n := range 3 {
		if _, err = d.startEntry(n, []string{"z-a", "z-b"}[n%2]); err != nil {
			return "", err
		}
	}
	if err = waitPlaced(runners); err != nil {
		return "", err
	}
	return d.repeatDeadly(runs, eventRepeats)
}

// repeatDeadly sends the deadly request again and again, and others beside it, and returns what broke the rule.
func (d *deployment) repeatDeadly(runs *deadlyRuns, repeats int) (string, error) {
	time.Sleep(3 * time.Second)
	served := 0
	for n := range repeats {
		e := d.entries[n%len(d.entries)]
		status, events, err := d.stream(e, deadlyPath, "dead01")
		d.record.write("requester", "deadly request at %s: status %d, %d of %d events, %v", e.name, status, events, streamEvents, err)
		for range 3 {
			e := d.entries[rand.IntN(len(d.entries))]
			if status, events, _ := d.stream(e, "/advice/"+newID(), newID()[:8]); status == http.StatusOK && events == streamEvents {
				served++
			}
		}
		time.Sleep(repeatInterval)
	}
	d.record.write("requester", "%d of %d other streams were served", served, 3*repeats)
	runs.mu.Lock()
	crashes, arrived := len(runs.crashes), len(runs.arrived)
	runs.mu.Unlock()
	late := runs.late()
	d.record.write("runners", "the request began to run %d times and made %d runners crash, %d runs later than %v after the third crash",
		arrived, crashes, late, contactTime)
	if late > maxLateRetries {
		return fmt.Sprintf("BUDGET: %d retries of the request reached runners later than %v after it had crashed the third, %d are allowed; %d crashes",
			late, contactTime, maxLateRetries, crashes), nil
	}
	if served == 0 {
		return "", errors.New("no other stream was served")
	}
	return "", nil
}

// waitPlaced waits until all runners hold all layers.
func waitPlaced(runners []*runner) error {
	for begin := time.Now(); time.Since(begin) < 20*time.Second; time.Sleep(50 * time.Millisecond) {
		placed := 0
		for _, r := range runners {
			if from, to := r.held(); to-from == modelLayers {
				placed++
			}
		}
		if placed == len(runners) {
			return nil
		}
	}
	return errors.New("the layers were not placed")
}

// stream sends a request as a requester does, and returns the status and how many events came.
func (d *deployment) stream(e *entry, path, part string) (status, events int, err error) {
	status, text, err := d.send(e, path, newID(), map[string]string{
		"X-Bergamotspur-Deadline-Ms": "20000", "X-Bergamotspur-Model": "m-advice", "X-Bergamotspur-Token-Count": "100,40",
		"X-Bergamotspur-Prompt-Prefix": "5c1e07a2:40," + part + ":60",
	})
	return status, strings.Count(text, "\n\n"), err
}

// send sends a request with an id and returns the status and the body. The error shows a body that isn't complete by its framing.
func (d *deployment) send(e *entry, path, id string, fields map[string]string) (status int, body string, err error) {
	q, err := http.NewRequest(http.MethodPost, "http://"+e.front+path, strings.NewReader("body of "+path))
	if err != nil {
		return 0, "", err
	}
	q.Host = "h.example"
	q.Header.Set("X-Bergamotspur-Attempt-Id", id)
	q.Header.Set("Authorization", "Token key-1")
	for name, value := range fields {
		q.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 8 * time.Second}
	answer, err := client.Do(q)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = answer.Body.Close() }() // the connection is not used again
	text, err := io.ReadAll(answer.Body)
	return answer.StatusCode, string(text), err
}
