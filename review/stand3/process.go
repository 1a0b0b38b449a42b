package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// register writes the entry of a runner in the store.
func (d *deployment) register(id string, value any) error {
	if d.storeAddress == "" {
		return d.store.put("servers", id, value)
	}
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	answer, err := http.Post("http://"+d.storeAddress+registerPath+id, "application/json", bytes.NewReader(text))
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }() // it is empty
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", answer.StatusCode)
	}
	return nil
}

// darkLine is what a runner says before it goes dark.
const darkLine = "goes dark"

// goDark makes the process of a runner go dark when a request to deadlyPath begins to run there.
func goDark(r *runner, q *http.Request, _ func()) bool {
	if q.URL.Path != deadlyPath || os.Getenv("TROUBLE") == "0" {
		return true
	}
	r.deployment.record.write(r.id, "%s on %s", darkLine, q.Header.Get("X-Bergamotspur-Attempt-Id"))
	_ = syscall.Kill(os.Getpid(), syscall.SIGSTOP) // the process that started it ends it
	return false
}

// runRunner is the process of a runner that, with the variable DEADLY, goes dark on requests to deadlyPath. It ends with the process that
// started it.
func runRunner(storeAddress, id, service, zone, address string) {
	d := &deployment{record: &record{out: os.Stdout, begin: time.Now()}, storeAddress: storeAddress}
	r := &runner{id: id, service: service, zone: zone, kind: largeKind, address: address, deployment: d}
	if os.Getenv("DEADLY") != "" {
		r.onRun = goDark
	}
	if err := r.start(0); err != nil {
		d.record.write(id, "not started: %v", err)
		os.Exit(exitNotRun)
	}
	parent := os.Getppid()
	for os.Getppid() == parent {
		time.Sleep(100 * time.Millisecond)
	}
	os.Exit(exitHeld)
}

// runnerProcess is a runner in a process of its own.
type runnerProcess struct {
	id  string
	cmd *exec.Cmd
	end sync.Once

	mu     sync.Mutex
	onDark func() // called when the runner goes dark, nil for runners that don't
}

func (p *runnerProcess) setDark(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onDark = f
}

// read looks for darkLine in a line of the runner.
func (p *runnerProcess) read(line string) {
	p.mu.Lock()
	f := p.onDark
	p.mu.Unlock()
	if f != nil && strings.Contains(line, darkLine) {
		f()
	}
}

// startRunnerProcess starts a runner in a process of its own, whose lines go to the record.
func (d *deployment) startRunnerProcess(id, service, zone, address string) (*runnerProcess, error) {
	return d.start(&runnerProcess{id: id, cmd: exec.Command(os.Args[0], "runner", d.store.address, id, service, zone, address)})
}

func (d *deployment) start(p *runnerProcess) (*runnerProcess, error) {
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err = p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		for lines := bufio.NewScanner(out); lines.Scan(); {
			d.record.write(p.id, "process: %s", lines.Text())
			p.read(lines.Text())
		}
	}()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runners = append(d.runners, p)
	return p, nil
}

// kill ends the process as a crash does.
func (p *runnerProcess) kill() {
	p.end.Do(func() {
		_ = p.cmd.Process.Signal(syscall.SIGKILL) // it may have ended already
		_ = p.cmd.Wait()
	})
}
