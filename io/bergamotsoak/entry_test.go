package bergamotsoak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"

	"bergamotspur/io/bergamotfake"
)

// entry is a process of the program that the soak can stop and start again.
type entry struct {
	name     string
	settings string
	front    string
	store    *bergamotfake.Proxy
	gate     *bergamotfake.Gate // to the runners
	program  string             // file of another build of the program, which has no gate; empty for this one
	log      *logBuffer

	restarting sync.Mutex // held during a restart, since a process can be waited for only once

	mu  sync.Mutex
	cmd *exec.Cmd
}

// logBuffer keeps the log of an entry over all of its processes.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// firstPort and lastPort are below the ports that systems give out by themselves, so that no connection of another process takes one before the
// entry listens there.
const (
	firstPort = 12000
	lastPort  = 32000
)

// freeAddress returns a loopback address whose port is free.
func freeAddress() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue // it is in use
		}
		must(l.Close())
		return address
	}
}

// must panics on an error of the test environment, without which the soak cannot run.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

func newEntry(dir, name, centre, store string) *entry {
	p, err := bergamotfake.NewProxy(store)
	must(err)
	g, err := bergamotfake.NewGate()
	must(err)
	e := &entry{name: name, settings: filepath.Join(dir, name+".yaml"), front: freeAddress(), store: p, gate: g, log: &logBuffer{}}
	_, port, err := net.SplitHostPort(freeAddress())
	must(err)
	text := fmt.Sprintf(`
nodeName: %[1]q
zone: %[2]q
ip: "127.0.0.1"
portRange: [%[5]s, %[5]s] # a new process keeps the port
listen: {front: %[3]q, ready: %[4]q}
bounds: {graceS: 4, strictRevoke: true, revokeMs: %[6]d, budgetRatio: 0.2, budgetWindowS: 10, budgetExtra: 100000}
platform: {address: %[7]q}
`, name, centre, e.front, freeAddress(), port, maxRevocationTime.Milliseconds(), p.Address())
	must(os.WriteFile(e.settings, []byte(text), 0o600))
	return e
}

// run starts the process.
func (e *entry) run() {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), childEnv+"="+e.settings, gateEnv+"="+e.gate.Address())
	if e.program != "" {
		cmd = exec.Command(e.program, "platform")
		cmd.Env = append(os.Environ(), "BERGAMOTSPUR_BOOT="+e.settings)
	}
	cmd.Stdout, cmd.Stderr = e.log, e.log
	must(cmd.Start())
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cmd = cmd
}

// signal sends a signal to the process; a process that has ended ignores it.
func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.cmd.Process.Signal(s)
}

// wait waits until the process has ended.
func (e *entry) wait() {
	e.mu.Lock()
	cmd := e.cmd
	e.mu.Unlock()
	_ = cmd.Wait() // the exit status depends on the fault
}

// restart sends the process a signal that ends it, waits for its end and starts a new one.
func (e *entry) restart(s syscall.Signal) {
	e.restarting.Lock()
	defer e.restarting.Unlock()
	e.signal(s)
	e.wait()
	e.run()
}

// knowsOthers reports whether the process has read from the store which entries may help it: it has become a hub or follows one.
func (e *entry) knowsOthers() bool {
	text := e.log.String()
	text = text[max(strings.LastIndex(text, "entry: started"), 0):]
	return strings.Contains(text, `"err":"\u003cnil>","message":"hubs: step"`) || strings.Contains(text, `"upstream":"entry-`)
}

// close ends the process, also a paused one, and its ways to the store and the runners.
func (e *entry) close() {
	e.signal(syscall.SIGCONT)
	e.signal(syscall.SIGKILL)
	e.wait()
	e.store.Close()
	e.gate.Close()
}
