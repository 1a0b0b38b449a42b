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

// process is a separate process of the program under test.
type process struct {
	cmd  *exec.Cmd
	out  *bufio.Scanner
	done chan error
}

// start runs the program with arguments; it is killed when the spec ends.
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

// value reads lines until one begins with "name=" and returns the rest of it.
func (p *process) value(name string) string {
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

// wait returns how the process ended.
func (p *process) wait() error { return p.cmd.Wait() }
