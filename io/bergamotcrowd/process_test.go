//go:build crowd

package bergamotcrowd

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// sampleInterval is the time between two looks at the descriptors and the memory of a process.
const sampleInterval = 50 * time.Millisecond

// process is a running entry whose memory and descriptors are watched until it ends.
type process struct {
	cmd   *exec.Cmd
	log   *logBuffer
	ended chan struct{} // closed once the process has ended
	err   error         // of its end; valid once ended is closed

	mu   sync.Mutex
	peak int64 // bytes
	open int   // most descriptors that were seen
}

// logBuffer collects the log lines of a process.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// tail returns the last 4000 bytes.
func (b *logBuffer) tail() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.text.String()
	return s[max(len(s)-4000, 0):]
}

// startProcess starts an entry and kills it at the end of the spec if it still runs.
func startProcess(args ...string) *process {
	p := &process{cmd: exec.Command(binary, args...), log: &logBuffer{}, ended: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	// Both variables would take precedence over the limits of the settings.
	for _, v := range os.Environ() {
		if !strings.HasPrefix(v, "GOMEMLIMIT=") && !strings.HasPrefix(v, "GOGC=") {
			p.cmd.Env = append(p.cmd.Env, v)
		}
	}
	gomega.Expect(p.cmd.Start()).To(gomega.Succeed())
	go func() {
		defer close(p.ended)
		p.err = p.cmd.Wait()
	}()
	ctx, cancel := context.WithCancel(context.Background())
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		p.watch(ctx)
	}()
	ginkgo.DeferCleanup(func() {
		cancel()
		<-watched
		_ = p.cmd.Process.Kill() // fails if it has ended
		<-p.ended
	})
	return p
}

// watch samples the process until it ends or ctx does.
func (p *process) watch(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		p.sample()
		select {
		case <-ctx.Done():
			return
		case <-p.ended:
			return
		case <-ticker.C:
		}
	}
}

// sample updates the highest figures; a process that has ended leaves them as they are.
func (p *process) sample() {
	peak, open := p.readPeak(), 0
	if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)); err == nil {
		open = len(entries)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peak, p.open = max(p.peak, peak), max(p.open, open)
}

// readPeak returns the peak resident memory in bytes, 0 if the process has ended.
func (p *process) readPeak() int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			if err != nil {
				return 0
			}
			return kb << 10
		}
	}
	return 0
}

// figures returns the highest resident memory in bytes and the highest number of descriptors so far.
func (p *process) figures() (peak int64, open int) {
	p.sample()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peak, p.open
}

// isAlive reports whether the process has not ended.
func (p *process) isAlive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return p.cmd.Process.Signal(syscall.Signal(0)) == nil
	}
}

// expectAlive fails the spec at once if the process has ended.
func (p *process) expectAlive() {
	gomega.ExpectWithOffset(1, p.isAlive()).To(gomega.BeTrue(), "the process has ended\n%s", p.log.tail())
}

// waitSettled waits until the peak grows by less than settledGrowth in a second, so that what clients have sent has been read
// as far as the process reads it. On a slow machine it may return early, which can only make the measured peak smaller.
func (p *process) waitSettled(ctx context.Context) {
	const (
		needed        = 20
		settledGrowth = 1 << 20 // an entry without requests grows by less until its next garbage collection
	)
	for last, same := int64(0), 0; same < needed && ctx.Err() == nil && p.isAlive(); same++ {
		if peak, _ := p.figures(); peak >= last+settledGrowth {
			last, same = peak, 0
		}
		select {
		case <-ctx.Done():
		case <-time.After(sampleInterval):
		}
	}
}
