package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

const settingsText = `nodeName: "edge-%[1]s-%[10]d"
role: "entry"
machineClass: "edge"
serves:
  - "edge"
ip: "127.0.0.1"
zone: "%[1]s"
region: "region"
zones:
  %[1]s: "region"
listen:
  front: "%[2]s"
  ready: "%[3]s"
portRange:
  - %[5]d
  - %[5]d
bootstrap: true
heartbeatMs: 1200
bounds:
  reuseAfterS: 2
  contactMs: %[6]d
  drainMs: %[7]d
  graceS: %[8]d
  lossSlackMs: 200
  configApplyMs: %[9]d
  strictRevoke: true
  revokeMs: 5000
  budgetRatio: 0.2
  budgetWindowS: 10
  budgetExtra: 200
platform:
  address: "%[4]s"
`

// entry is a process of the project.
type entry struct {
	bench *bench
	cmd   *exec.Cmd
	front string
	ready string
	done  chan struct{} // closed when the process has ended
}

// startEntry starts a process with the command of the deploy file and waits until it is ready.
func (b *bench) startEntry(ctx context.Context, storeAddress string) (*entry, error) {
	var addresses [4]string
	for i := range addresses {
		var err error
		if addresses[i], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	front, ready := addresses[0], addresses[1]
	_, metrics, _ := net.SplitHostPort(addresses[2]) // freeAddress returns host and port
	peers, err := net.ResolveTCPAddr("tcp", addresses[3])
	if err != nil {
		return nil, err
	}
	b.entries++
	number := b.entries
	file := filepath.Join(b.dir, fmt.Sprintf("local-%d.yaml", number))
	text := fmt.Sprintf(settingsText, zoneName, front, ready, storeAddress, peers.Port, contactTime.Milliseconds(),
		drainTime.Milliseconds(), int(graceTime.Seconds()), applyTime.Milliseconds(), number)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	e := &entry{bench: b, front: front, ready: ready, done: make(chan struct{})}
	e.cmd = exec.Command(filepath.Join("target", "bergamotspur"), "platform", "--metrics", metrics)
	e.cmd.Env = append(os.Environ(), "BERGAMOTSPUR_BOOT="+file)
	out, err := e.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	e.cmd.Stderr = e.cmd.Stdout
	if err := e.cmd.Start(); err != nil {
		return nil, err
	}
	go e.follow(out)
	b.onClose(e.kill)
	return e, e.waitReady(ctx)
}

// follow copies the lines of the process, except those of single requests, to the record.
func (e *entry) follow(out io.Reader) {
	defer close(e.done)
	for s := bufio.NewScanner(out); s.Scan(); {
		if !strings.Contains(s.Text(), `"message":"request:`) {
			e.bench.log("entry: %s", s.Text())
		}
	}
	_ = e.cmd.Wait() // how the process ended is part of no rule here
}

func (e *entry) kill() {
	_ = e.cmd.Process.Kill() // it may have ended already
	<-e.done
}

// waitReady waits until the readiness check succeeds.
func (e *entry) waitReady(ctx context.Context) error {
	for ctx.Err() == nil {
		resp, err := http.Get("http://" + e.ready + "/readiness")
		if err == nil {
			_ = resp.Body.Close() // it is empty
			if resp.StatusCode == http.StatusOK {
				e.bench.log("entry is ready")
				return nil
			}
		}
		select {
		case <-ctx.Done():
		case <-e.done:
			return errors.New("the entry has ended")
		case <-time.After(20 * time.Millisecond):
		}
	}
	return ctx.Err()
}
