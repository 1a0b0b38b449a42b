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

// BenchmarkEntry measures the CPU time and the memory that an entry uses per request, token and stream, from the HTTP
// request to the server-sent events. The entry runs as a separate process, and each CPU figure is the difference between
// two runs that differ only in the number of requests or of tokens.
func BenchmarkEntry(b *testing.B) {
	gomega.RegisterTestingT(b)
	for b.Loop() {
		base := measure(b, 200, 1)
		b.ReportMetric(perUnit(measure(b, 1000, 1).cpu-base.cpu, 800), "us/request")
		b.ReportMetric(perUnit(measure(b, 200, 201).cpu-base.cpu, 200*200), "us/token")
		b.ReportMetric(float64(base.idleMemory)/1e6, "MB-idle")
		b.ReportMetric(float64(base.busyMemory-base.idleMemory)/200/1e3, "KB/stream")
	}
}

// usage holds the CPU time of an entry and its resident memory in bytes, before the requests and at the peak.
type usage struct {
	cpu        time.Duration
	idleMemory int64
	busyMemory int64
}

func perUnit(d time.Duration, n int) float64 { return float64(d.Microseconds()) / float64(n) }

// measure starts an entry, sends it streamed requests, 200 at a time, and returns what it used.
func measure(b *testing.B, requests, tokens int) (u usage) {
	platform := startChild(b, "address", "fake", "platform")
	for n, r := range [][2]string{{"0", "6"}, {"6", "12"}} {
		startChild(b, "address", "fake", "engine", "--platform", platform.value, "--name", fmt.Sprint("runner", n),
			"--from", r[0], "--to", r[1], "--step", "2ms")
	}
	rollOut(context.Background(), platform.value, strings.Replace(testBundle, "tokens = 100000", "tokens = 10000000", 1))
	entry := startChild(b, "callers", "serve", benchSettings(b, platform.value))
	gomega.Eventually(func() error { return readCompletionStream(entry.value, 1) }).WithTimeout(20 * time.Second).Should(gomega.Succeed())
	u.idleMemory = residentMemory(b, entry.cmd.Process.Pid)
	const parallel = 200
	for done := 0; done < requests; done += parallel {
		results := make(chan error, parallel)
		for range parallel {
			go func() { results <- readCompletionStream(entry.value, tokens) }()
		}
		for range parallel {
			if err := <-results; err != nil {
				b.Fatal(err)
			}
		}
		u.busyMemory = max(u.busyMemory, residentMemory(b, entry.cmd.Process.Pid))
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

// benchProcess is a child process and the value that it printed.
type benchProcess struct {
	cmd   *exec.Cmd
	value string
}

// startChild runs the program as a child process and reads the line "name=value" from its first output.
func startChild(b *testing.B, name string, args ...string) *benchProcess {
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

// readCompletionStream sends a streamed completion request and reads the response up to [DONE].
func readCompletionStream(address string, tokens int) error {
	body, err := json.Marshal(map[string]any{"model": "advice", "prompt": "oil for beech", "max_tokens": tokens, "stream": true})
	if err != nil {
		return err
	}
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+testAPIKey)
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

// residentMemory returns the resident memory of a process in bytes.
func residentMemory(b *testing.B, pid int) int64 {
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
