// Command stand3 plays the cases of the third review that are no days of the bench: it starts the entries as processes of their own, and
// the store, the runners and the requesters around them in this process, all on loopback addresses.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario plays a case and returns what broke the rule, empty if it held.
type scenario func(d *deployment, trouble bool) (broken string, err error)

var scenarios = map[string]scenario{
	"reused-address": playReusedAddress, "crash-after-event": playCrashAfterEvent, "killed-app": playKilledApp,
	"dark-crash": playDarkCrash, "foreign-entry": playForeignEntry,
}

func main() {
	if len(os.Args) == 7 && os.Args[1] == "runner" {
		runRunner(os.Args[2], os.Args[3], os.Args[4], os.Args[5], os.Args[6])
	}
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(scenarios[os.Args[1]], os.Args[2]))
}

// run plays a case, which writes to the record, and returns its exit code.
func run(play scenario, recordFile string) int {
	file, err := os.Create(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = file.Close() }() // each line is written at once
	d := &deployment{record: &record{out: file, begin: time.Now()}}
	defer d.stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		d.stop()
		os.Exit(exitNotRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	d.record.write("case", "trouble=%v", trouble)
	broken, err := play(d, trouble)
	switch {
	case err != nil:
		d.record.write("result", "not run: %v", err)
		return exitNotRun
	case broken != "":
		d.record.write("result", "broken: %s", broken)
		return exitBroken
	default:
		d.record.write("result", "held")
		return exitHeld
	}
}

// record is the file with what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   *os.File
	begin time.Time
}

func (r *record) write(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A line that cannot be written is missing from the record; the exit code does not depend on it.
	_, _ = fmt.Fprintf(r.out, "%8.3f %-10s %s\n", time.Since(r.begin).Seconds(), who, fmt.Sprintf(format, args...))
}

// deployment is a store, runners and entries.
type deployment struct {
	record *record
	store  *store

	// storeAddress is the address of a store in another process, empty for the own one.
	storeAddress string

	mu      sync.Mutex
	entries []*entry
	dirs    []string
	runners []*runnerProcess
}

// entry is a process of the project.
type entry struct {
	name  string
	front string
	ready string
	cmd   *exec.Cmd
}

const settingsText = `nodeName: "%[1]s"
role: "entry"
machineClass: "edge"
serves: ["edge"]
ip: "%[2]s"
zone: "%[3]s"
region: "r"
zones: {z-a: "r", z-b: "r"}
listen:
  front: "%[4]s"
  ready: "%[5]s"
portRange: [%[6]d, %[7]d]
seeds: []
bootstrap: true
limits: {cpuShare: 0.6, cores: 1, memoryMb: 414, maxFds: 6150, linkMbps: 1500.0, diskMb: 0}
dataDir: null
discovery: "platform"
heartbeatMs: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "layers"]
bounds:
  seedLagS: 3
  reuseAfterS: 2
  contactMs: 3000
  ackMs: 4000
  catchUpS: 4
  drainMs: 2000
  graceS: 8
  lossSlackMs: 200
  configApplyMs: 2000
  rollbackSlackMs: 250
  outerMs: 5000
  strictRevoke: true
  revokeMs: 5000
  budgetRatio: 0.2
  budgetWindowS: 10
  budgetExtra: 200
  recoveryS: 12
  passMs: 120
  retryAfterS: 0
  stall_ms: 2500
  requireFencing: false
platform: {address: "%[8]s", form: "table", writesPerS: 400, readsPerS: 2000, txMs: 5.0, partWritesS: 200, rowBytes: 65536, across: false, historyS: 20}
`

// startEntry starts the command of the deploy file on a loopback address of its own, another one in each process of the stand-ins.
func (d *deployment) startEntry(n int, zone string) (*entry, error) {
	name := fmt.Sprint("entry-", n)
	ip := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()/250%128, 1+os.Getpid()%250, 1+n)
	dir, err := os.MkdirTemp("", "stand3")
	if err != nil {
		return nil, err
	}
	ports, err := freePorts(ip, 2)
	if err != nil {
		return nil, err
	}
	e := &entry{name: name, front: ports[0], ready: ports[1]}
	low := 20000 + os.Getpid()%20000
	text := fmt.Sprintf(settingsText, name, ip, zone, e.front, e.ready, low, low+15, d.store.address)
	file := filepath.Join(dir, "local.yaml")
	if err = os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, "log.txt"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	e.cmd = exec.Command("target/bergamotspur", "platform", "--metrics", "9464")
	e.cmd.Env = []string{"BERGAMOTSPUR_BOOT=" + file, "PATH=" + os.Getenv("PATH"), "HOME=" + dir, "LANG=C"}
	e.cmd.Stdout, e.cmd.Stderr = log, log
	if err = e.cmd.Start(); err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries, d.dirs = append(d.entries, e), append(d.dirs, dir)
	d.record.write(name, "started with the command of the deploy file, front %s", e.front)
	return e, nil
}

// stop ends all processes that the case has started and copies the lines about orders from their logs to the record.
func (d *deployment) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for n, e := range d.entries {
		_ = e.cmd.Process.Kill() // it may have ended already
		_ = e.cmd.Wait()
		text, err := os.ReadFile(filepath.Join(d.dirs[n], "log.txt"))
		for line := range strings.Lines(string(text)) {
			if err == nil && (strings.Contains(line, "placement") || strings.Contains(line, "runners") || strings.Contains(line, "panic")) {
				d.record.write(e.name, "log: %s", strings.TrimSpace(line))
			}
		}
		_ = os.RemoveAll(d.dirs[n]) // a folder that is left over does no harm
	}
	d.entries, d.dirs = nil, nil
	for _, r := range d.runners {
		r.kill()
	}
}
