package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// machine is a process of the system, or a runner, that a case has started.
type machine struct {
	name    string
	command *exec.Cmd
	input   io.WriteCloser
	done    chan struct{} // closed when the process has ended
	endErr  error         // how it ended, valid once done is closed
}

// start starts a process whose output goes to read, line by line.
func start(name string, env []string, read func(line []byte), program string, args ...string) (*machine, error) {
	m := &machine{name: name, command: exec.Command(program, args...), done: make(chan struct{})}
	m.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // nothing stays if the case is ended
	m.command.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}, env...)
	out, err := m.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if m.input, err = m.command.StdinPipe(); err != nil {
		return nil, err
	}
	if err = m.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		defer close(m.done)
		for lines := bufio.NewReader(out); ; {
			line, err := lines.ReadBytes('\n')
			if len(line) > 0 {
				read(line)
			}
			if err != nil {
				break
			}
		}
		m.endErr = m.command.Wait()
	}()
	return m, nil
}

// signal sends a signal to the process; one that has ended needs none.
func (m *machine) signal(s syscall.Signal) { _ = m.command.Process.Signal(s) }

// kill ends the process and waits until it has ended.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	<-m.done
}

// site is a small deployment: a store, entries, runners and what happened to them.
type site struct {
	dir      string // for files of the processes
	store    *store
	storeAt  string
	mu       sync.Mutex
	record   *os.File
	began    time.Time
	machines []*machine
	onEvent  func(e event)
}

// newSite begins a site whose record is written to a file.
func newSite(record string) (s *site, err error) {
	s = &site{store: newStore(), began: time.Now(), onEvent: func(event) {}}
	if s.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	if s.record, err = os.Create(record); err != nil {
		return nil, err
	}
	if s.storeAt, err = s.store.listen("127.0.0.1:0"); err != nil {
		return nil, err
	}
	go s.store.expire()
	return s, nil
}

// note writes a line to the record.
func (s *site) note(format string, a ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.record, "%8.3f "+format+"\n", append([]any{time.Since(s.began).Seconds()}, a...)...) // the exit code says the result
}

// end ends all processes and removes their files.
func (s *site) end() {
	s.mu.Lock()
	machines := s.machines
	s.mu.Unlock()
	for _, m := range machines {
		m.kill()
	}
	_ = os.RemoveAll(s.dir) // a temporary folder
	_ = s.record.Close()
}

func (s *site) add(m *machine) *machine {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machines = append(s.machines, m)
	return m
}

// entry is an entry of the system with its addresses.
type entry struct {
	*machine
	name, ip, front, ready, settings, log string
}

// addEntry prepares an entry on a loopback IP.
func (s *site) addEntry(name, ip string) (*entry, error) {
	free, err := freeAddresses(ip, ip, ip)
	if err != nil {
		return nil, err
	}
	e := &entry{name: name, ip: ip, front: free[0], ready: free[1], settings: filepath.Join(s.dir, name+".yaml"), log: filepath.Join(s.dir, name+".log")}
	_, port, err := net.SplitHostPort(free[2])
	if err != nil {
		return nil, err
	}
	text := fmt.Sprintf(`nodeName: %q
role: "entry"
machineClass: "edge"
serves:
  - "edge"
ip: %q
zone: "eesti-a"
region: "eesti"
zones:
  eesti-a: "eesti"
listen:
  front: %q
  ready: %q
portRange:
  - %s
  - %s
bootstrap: true
limits:
  cpuShare: 0.608
  cores: 1
  memoryMb: 414
  maxFds: 6150
  linkMbps: 1500.0
dataDir: null
heartbeatMs: 1200
bounds:
  reuseAfterS: 2
  contactMs: 3000
  drainMs: 2000
  graceS: 8
  lossSlackMs: 200
  configApplyMs: 2000
  strictRevoke: true
  revokeMs: 5000
  budgetRatio: 0.2
  budgetWindowS: 10
  budgetExtra: 200
  recoveryS: 12
  stall_ms: 2500
  requireFencing: false
platform:
  address: %q
  form: "table"
`, name, ip, e.front, e.ready, port, port, s.storeAt)
	return e, os.WriteFile(e.settings, []byte(text), 0o600)
}

// startEntry starts the process of an entry with the command of the deploy file.
func (s *site) startEntry(e *entry) (err error) {
	log, err := os.OpenFile(e.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	write := func(line []byte) { _, _ = log.Write(line) } // only for looking into a case
	e.machine, err = start(e.name, []string{"BERGAMOTSPUR_BOOT=" + e.settings}, write, "target/bergamotspur", "platform", "--metrics", "9464")
	if err != nil {
		return err
	}
	s.add(e.machine)
	s.note("%s starts", e.name)
	return nil
}

// isReady reports whether an entry says that it is ready.
func (e *entry) isReady() bool {
	resp, err := (&http.Client{Timeout: time.Second}).Get("http://" + e.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // the status is enough
	return resp.StatusCode == http.StatusOK
}

// startRunner starts the process of a runner.
func (s *site) startRunner(id, service, address string) (*machine, error) {
	read := func(line []byte) {
		var e event
		if json.Unmarshal(line, &e) == nil {
			s.onEvent(e)
		}
	}
	m, err := start(id, nil, read, os.Args[0], "runner", "-id", id, "-service", service, "-address", address, "-store", s.storeAt)
	if err != nil {
		return nil, err
	}
	s.note("runner %s starts at %s", id, address)
	return s.add(m), nil
}

// startRunners starts a runner of each service, and returns them with their addresses in the same order.
func (s *site) startRunners(services ...string) (runners []*machine, addresses []string, err error) {
	for n, service := range services {
		free, err := freeAddresses(fmt.Sprintf("127.0.2.%d", n+1))
		if err != nil {
			return nil, nil, err
		}
		m, err := s.startRunner(fmt.Sprintf("i-%04d", n), service, free[0])
		if err != nil {
			return nil, nil, err
		}
		runners, addresses = append(runners, m), append(addresses, free[0])
	}
	return runners, addresses, nil
}

// startEntries starts entries and waits until each is ready and serves the given paths.
func (s *site) startEntries(n int, paths ...string) (entries []*entry, err error) {
	for n := range n {
		e, err := s.addEntry(fmt.Sprintf("edge-%d", n+1), fmt.Sprintf("127.0.1.%d", n+1))
		if err != nil {
			return nil, err
		}
		if err = s.startEntry(e); err != nil {
			return nil, err
		}
		entries = append(entries, e)
	}
	err = await(30*time.Second, func() bool {
		for _, e := range entries {
			c := newCaller(e.front)
			if !e.isReady() {
				return false
			}
			for _, path := range paths {
				if o := c.send(path, 20*time.Second); o.status != http.StatusOK || o.err != nil {
					return false
				}
			}
		}
		return true
	})
	return entries, err
}

// tell sends a line to the input of a runner.
func (m *machine) tell(line string) error {
	_, err := io.WriteString(m.input, line+"\n")
	return err
}

// errNotReady is returned when a site does not come up.
var errNotReady = errors.New("the entries are not ready in time")

// await waits until a condition holds.
func await(timeout time.Duration, condition func() bool) error {
	for end := time.Now().Add(timeout); !condition(); {
		if time.Now().After(end) {
			return errNotReady
		}
		<-time.After(50 * time.Millisecond)
	}
	return nil
}

// config returns a desired state with a stream that may be resumed and a call that may run once.
func config(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{
				"name": "r-advice", "hostname": "boards.example", "pathPrefix": "/advice/", "routeType": "streaming", "timeoutMs": 20000, "targetLatencyMs": 500,
				"priority": 1, "service": "llm", "maxAttempts": 2, "public": false, "sticky": true, "resumable": true, "targetGapMs": 200,
			},
			map[string]any{
				"name": "r-pickup", "hostname": "boards.example", "pathPrefix": "/once/", "routeType": "non_idempotent", "timeoutMs": 800, "targetLatencyMs": 300,
				"priority": 2, "service": "app", "maxAttempts": 1, "public": false,
			},
		},
		"services": []any{
			map[string]any{"name": "llm", "healthPath": "/health", "maxConns": 1068, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": slots, "kvCapacityTokens": 100000, "kvBytes": 590000, "linkMbps": 480000.0, "stride": 2,
				"models":  []any{map[string]any{"name": "m", "pace": 1.0, "loadS": 14.0, "warmS": 1.0}},
				"step_ms": 0.85, "per_seq_ms": 0.00382, "context_per_k": 0.00512, "read_per_s": 196000.0, "pairs_per_m": 0.166, "chunk": 512, "report_lag_ms": 200.0,
				"usual": map[string]int{"prompt": 100, "answer": 60}, "layers": layers, "layerMb": 1750.0, "actBytes": 29500, "pipeMbps": 11000.0,
				"kinds": []any{map[string]any{"name": "h100", "sizeMb": 72000.0, "pace": 1.4, "readFactor": 1.0}},
			}},
			map[string]any{"name": "app", "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "kitchen", "apiKeys": []string{"key-1"}, "priority": 1}},
	}
}
