package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
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

// runRunner is the process of a runner whose answers have no length. It ends with the process that started it.
func runRunner(storeAddress, id, service, zone, address string) {
	d := &deployment{record: &record{out: os.Stdout, begin: time.Now()}, storeAddress: storeAddress}
	r := &runner{id: id, service: service, zone: zone, kind: largeKind, address: address, deployment: d, unframed: true}
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
}

// startRunnerProcess starts a runner in a process of its own, whose lines go to the record.
func (d *deployment) startRunnerProcess(id, service, zone, address string) (*runnerProcess, error) {
	p := &runnerProcess{id: id, cmd: exec.Command(os.Args[0], "runner", d.store.address, id, service, zone, address)}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err = p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		for lines := bufio.NewScanner(out); lines.Scan(); {
			d.record.write(id, "process: %s", lines.Text())
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
