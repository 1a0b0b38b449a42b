package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	appRunners     = 6
	requestsAtOnce = 24
	kills          = 4
	killInterval   = 4 * time.Second
)

// playKilledApp kills runners of an application, one at a time, while their answers, which have no length, are under way.
func playKilledApp(d *deployment, trouble bool) (string, error) {
	var err error
	if d.store, err = newStore(); err != nil {
		return "", err
	}
	if err = d.store.put("op", "config", desiredState()); err != nil {
		return "", err
	}
	addresses, err := freePorts("127.0.0.1", appRunners)
	if err != nil {
		return "", err
	}
	zone := func(n int) string { return []string{"z-a", "z-b"}[n%2] }
	processes := make([]*runnerProcess, len(addresses))
	for n, address := range addresses {
		if processes[n], err = d.startRunnerProcess(fmt.Sprint(appService, "-", n), appService, zone(n), address); err != nil {
			return "", err
		}
	}
	for n := range 2 {
		if _, err = d.startEntry(n, zone(n)); err != nil {
			return "", err
		}
	}
	if err = d.waitServed(d.askCall); err != nil {
		return "", err
	}
	done, results := make(chan struct{}), &answers{}
	var requesters sync.WaitGroup
	for range requestsAtOnce {
		requesters.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
					results.add(d, d.askCall)
				}
			}
		})
	}
	for n := range kills {
		time.Sleep(killInterval)
		if !trouble {
			continue
		}
		victim := n % len(processes)
		processes[victim].kill()
		d.record.write(processes[victim].id, "killed with SIGKILL")
		time.Sleep(restartDelay)
		if processes[victim], err = d.startRunnerProcess(processes[victim].id, appService, zone(victim), addresses[victim]); err != nil {
			return "", err
		}
	}
	time.Sleep(killInterval)
	close(done)
	requesters.Wait()
	d.record.write("requesters", "%d answers whole, %d in part and complete by their framing, %d ended otherwise", results.whole, results.short, results.failed)
	if results.short > 0 {
		return fmt.Sprintf("MIXED: %d requesters got a success with a part of the runner's body", results.short), nil
	}
	if results.whole == 0 {
		return "", errors.New("no request was served")
	}
	return "", nil
}

// ask sends a request with an id to an entry. It returns the status, and how much of the answer came.
type ask func(e *entry, id string) (status int, whole bool, got string, err error)

func (d *deployment) askStream(e *entry, id string) (status int, whole bool, got string, err error) {
	status, events, err := d.stream(e, "/advice/"+id, id)
	return status, events == streamEvents, fmt.Sprintf("%d of %d events", events, streamEvents), err
}

func (d *deployment) askCall(e *entry, id string) (status int, whole bool, got string, err error) {
	status, text, err := d.send(e, "/pickup/"+id, id, map[string]string{"X-Bergamotspur-Deadline-Ms": "1500"})
	want := callAnswer(id)
	return status, text == want, fmt.Sprintf("%d of %d bytes", len(text), len(want)), err
}

// waitServed waits until each entry serves a request.
func (d *deployment) waitServed(send ask) error {
	for _, e := range d.entries {
		for begin := time.Now(); ; time.Sleep(100 * time.Millisecond) {
			if status, whole, _, err := send(e, newID()); err == nil && status == http.StatusOK && whole {
				break
			}
			if time.Since(begin) > 20*time.Second {
				return fmt.Errorf("%s serves no request", e.name)
			}
		}
	}
	return nil
}

// answers counts how requests ended for their requesters.
type answers struct {
	mu                   sync.Mutex
	whole, short, failed int
}

// add sends one request and counts how it ended.
func (a *answers) add(d *deployment, send ask) {
	e, id := d.entries[rand.IntN(len(d.entries))], newID()
	status, whole, got, err := send(e, id)
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case err == nil && status == http.StatusOK && whole:
		a.whole++
	case err == nil && status == http.StatusOK:
		a.short++
		d.record.write("requester", "%s at %s: status 200, complete by its framing, %s", id, e.name, got)
	default:
		a.failed++
		d.record.write("requester", "%s at %s: status %d, %s, %v", id, e.name, status, got, err)
	}
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
