package bergamotcommand_test

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"syscall"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// process is a child process that runs the program under test.
type process struct {
	cmd  *exec.Cmd
	out  *bufio.Scanner
	done chan error
}

// start runs the program with the given arguments and kills it when the spec ends.
func start(args ...string) *process {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), childEnv+"=1")
	cmd.Stderr = ginkgo.GinkgoWriter
	out, err := cmd.StdoutPipe()
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(cmd.Start()).To(gomega.Succeed())
	p := &process{cmd: cmd, out: bufio.NewScanner(out), done: make(chan error, 1)}
	ginkgo.DeferCleanup(func() {
		_ = cmd.Process.Kill()
		p.wait()
	})
	return p
}

// readValue reads output lines up to one that begins with "name=" and returns the rest of that line.
func (p *process) readValue(name string) string {
	for p.out.Scan() {
		if v, ok := strings.CutPrefix(p.out.Text(), name+"="); ok {
			return v
		}
	}
	ginkgo.Fail(fmt.Sprintf("process ended before it printed %s=", name))
	return ""
}

func (p *process) terminate() {
	gomega.Expect(p.cmd.Process.Signal(syscall.SIGTERM)).To(gomega.Succeed())
}

// wait waits for the process to exit and returns an error unless it exits with code 0.
func (p *process) wait() error { return p.cmd.Wait() }
