package bergamotsoak

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"

	"bergamotspur/io/bergamotfake"
)

// entry is one process of the program, started again whenever it ends.
type entry struct {
	name     string
	settings string
	front    string
	store    *bergamotfake.Proxy
	log      *journal

	stops sync.Mutex // one stop at a time: a process can be waited for only once

	mu  sync.Mutex
	cmd *exec.Cmd
}

// journal keeps the end of the log of an entry.
type journal struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (j *journal) Write(p []byte) (int, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.text.Write(p)
}

func (j *journal) String() string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.text.String()
}

func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	defer func() { must(l.Close()) }()
	return l.Addr().String()
}

func must(err error) {
	if err != nil {
		panic(err) // the machine cannot run the soak
	}
}

func newEntry(dir, name, store string) *entry {
	p, err := bergamotfake.NewProxy(store)
	must(err)
	e := &entry{name: name, settings: filepath.Join(dir, name+".yaml"), front: freeAddress(), store: p, log: &journal{}}
	text := fmt.Sprintf(`
nodeName: %q
zone: "a"
ip: "127.0.0.1"
listen: {front: %q, ready: %q}
bounds: {graceS: 4, strictRevoke: true, revokeMs: %d, budgetRatio: 0.2, budgetWindowS: 10, budgetExtra: 100000}
platform: {address: %q}
`, name, e.front, freeAddress(), revokeTime.Milliseconds(), p.Address())
	must(os.WriteFile(e.settings, []byte(text), 0o600))
	return e
}

// run starts the process.
func (e *entry) run() {
	cmd := exec.Command(os.Args[0], "platform", "--settings", e.settings)
	cmd.Env = append(os.Environ(), childEnv+"=1")
	cmd.Stdout, cmd.Stderr = e.log, e.log
	must(cmd.Start())
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cmd = cmd
}

// signal sends a signal; a process that has ended takes none.
func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.cmd.Process.Signal(s)
}

// wait returns when the process has ended.
func (e *entry) wait() {
	e.mu.Lock()
	cmd := e.cmd
	e.mu.Unlock()
	_ = cmd.Wait() // how it ended is up to the fault
}

// stop ends the process with a signal and starts it again.
func (e *entry) stop(s syscall.Signal) {
	e.stops.Lock()
	defer e.stops.Unlock()
	e.signal(s)
	e.wait()
	e.run()
}

func (e *entry) end() {
	e.signal(syscall.SIGCONT)
	e.signal(syscall.SIGKILL)
	e.wait()
	e.store.Close()
}
