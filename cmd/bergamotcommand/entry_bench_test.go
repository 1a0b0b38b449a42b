package bergamotcommand_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// BenchmarkEntry measures the processor time and memory of an entry in a process of its own, from HTTP request to
// server-sent events, by the difference between runs that differ in one number only.
func BenchmarkEntry(b *testing.B) {
	gomega.RegisterTestingT(b)
	for b.Loop() {
		base := measure(b, 200, 1)
		b.ReportMetric(perUnit(measure(b, 1000, 1).cpu-base.cpu, 800), "us/request")
		b.ReportMetric(perUnit(measure(b, 200, 201).cpu-base.cpu, 200*200), "us/token")
		b.ReportMetric(float64(base.idle)/1e6, "MB-idle")
		b.ReportMetric(float64(base.busy-base.idle)/200/1e3, "KB/stream")
	}
}

// usage is what an entry used for a number of requests; idle and busy are bytes of resident memory.
type usage struct {
	cpu  time.Duration
	idle int64
	busy int64
}

func perUnit(d time.Duration, n int) float64 { return float64(d.Microseconds()) / float64(n) }

// measure streams requests in rounds of 200 at the same time.
func measure(b *testing.B, requests, tokens int) (u usage) {
	platform := child(b, "address", "fake", "platform")
	for n, r := range [][2]string{{"0", "6"}, {"6", "12"}} {
		child(b, "address", "fake", "engine", "--platform", platform.value, "--name", fmt.Sprint("runner", n),
			"--from", r[0], "--to", r[1], "--step", "2ms")
	}
	rollOut(context.Background(), platform.value, strings.Replace(wholeBundle, "tokens = 100000", "tokens = 10000000", 1))
	entry := child(b, "callers", "serve", benchSettings(b, platform.value))
	gomega.Eventually(func() error { return stream(entry.value, 1) }).WithTimeout(20 * time.Second).Should(gomega.Succeed())
	u.idle = resident(b, entry.cmd.Process.Pid)
	const parallel = 200
	for done := 0; done < requests; done += parallel {
		ends := make(chan error, parallel)
		for range parallel {
			go func() { ends <- stream(entry.value, tokens) }()
		}
		for range parallel {
			if err := <-ends; err != nil {
				b.Fatal(err)
			}
		}
		u.busy = max(u.busy, resident(b, entry.cmd.Process.Pid))
	}
	if err := entry.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		b.Fatal(err)
	}
	if err := entry.cmd.Wait(); err != nil {
		b.Fatal(err)
	}
	u.cpu = entry.cmd.ProcessState.UserTime() + entry.cmd.ProcessState.SystemTime()
	return u
}

// benchProcess is a child and the value that it printed.
type benchProcess struct {
	cmd   *exec.Cmd
	value string
}

func child(b *testing.B, name string, args ...string) *benchProcess {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), childEnv+"=1")
	out, err := cmd.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err = cmd.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = cmd.Process.Kill() })
	buf := make([]byte, 4096)
	n, err := out.Read(buf)
	if err != nil {
		b.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(buf[:n]), name+"=")
	value, _, _ := strings.Cut(rest, "\n")
	return &benchProcess{cmd: cmd, value: value}
}

func benchSettings(b *testing.B, platform string) string {
	file := filepath.Join(b.TempDir(), "entry.ini")
	if err := os.WriteFile(file, []byte(settingsText("entry1", platform)), 0o600); err != nil {
		b.Fatal(err)
	}
	return file
}

// stream reads one streamed completion to its end.
func stream(address string, tokens int) error {
	body, err := json.Marshal(map[string]any{"model": "advice", "prompt": "oil for beech", "max_tokens": tokens, "stream": true})
	if err != nil {
		return err
	}
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+wholeKey)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if !strings.HasSuffix(string(data), "[DONE]\n\n") {
		return fmt.Errorf("incomplete answer: status %d, %.200s", resp.StatusCode, data)
	}
	return nil
}

// resident returns the resident memory of a process in bytes.
func resident(b *testing.B, pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		b.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(data), "VmRSS:")
	fields := strings.Fields(rest)
	kilobytes, err := strconv.ParseInt(fields[0], 10, 64)
	if err != nil {
		b.Fatal(err)
	}
	return kilobytes << 10
}
