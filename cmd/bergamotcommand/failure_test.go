package bergamotcommand_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamottest"
	"bergamotspur/io/bergamotfake"
)

// processFixture holds a fake platform, fake engines with two replicas of every layer, and an entry, each a separate
// process.
type processFixture struct {
	platform  *process
	engines   map[string]*process
	entry     *process
	callers   string
	operators string
	urls      map[string]string // answered by every process that runs, by name
}

func newProcessFixture(ctx context.Context) *processFixture {
	s := &processFixture{platform: start("fake", "platform"), engines: map[string]*process{}, urls: map[string]string{}}
	platform := s.platform.readValue("address")
	s.urls["platform"] = "http://" + platform + "/instances"
	for n, r := range [][2]string{{"0", "6"}, {"6", "12"}, {"0", "6"}, {"6", "12"}} {
		name := fmt.Sprintf("runner%d", n)
		s.engines[name] = start("fake", "engine", "--platform", platform, "--name", name, "--from", r[0], "--to", r[1], "--step", "2ms")
		s.urls[name] = "http://" + s.engines[name].readValue("address") + "/load"
	}
	rollOut(ctx, platform, testBundle)
	s.entry = start("serve", writeSettings("entry1", platform))
	s.callers, s.operators = s.entry.readValue("callers"), s.entry.readValue("operators")
	s.urls["entry"] = "http://" + s.operators + "/healthz"
	gomega.Eventually(func() string {
		resp, err := postCompletion(s.callers, "warm up", 1, false)
		if err != nil {
			return ""
		}
		return completionText(resp)
	}).WithTimeout(20 * time.Second).Should(gomega.Equal(bergamotfake.Reference("warm up", 0, 12, 1)))
	return s
}

// freeze stops the process without closing its connections, until the spec ends.
func (p *process) freeze() {
	gomega.Expect(p.cmd.Process.Signal(syscall.SIGSTOP)).To(gomega.Succeed())
	ginkgo.DeferCleanup(func() { _ = p.cmd.Process.Signal(syscall.SIGCONT) })
}

func (p *process) kill() { gomega.Expect(p.cmd.Process.Kill()).To(gomega.Succeed()) }

// readStream reads a streamed completion and calls onEvent when it has received the given number of events.
func readStream(resp *http.Response, eventNumber int, onEvent func()) (text string, done bool) {
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for n := 0; lines.Scan(); {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, true
		}
		var m struct{ Choices []struct{ Text string } }
		if json.Unmarshal([]byte(data), &m) != nil || len(m.Choices) == 0 {
			return text + "\nended by the event " + data, false
		}
		text += m.Choices[0].Text
		if n++; n == eventNumber {
			onEvent()
		}
	}
	return text, false
}

// enginesOnPath returns the engines of a path in the order of its stages.
func (s *processFixture) enginesOnPath(path string) []*process {
	var out []*process
	for _, name := range strings.Split(path, ",") {
		out = append(out, s.engines[name])
	}
	return out
}

type failureCase struct {
	fail func(s *processFixture, stages []*process)
}

var _ = ginkgo.Describe("a streamed answer between processes", func() {
	// Each case fails a process in the middle of a stream. The caller must receive the same text as from a single engine
	// with all layers: no token is lost, repeated or taken from another attempt.
	bergamottest.Cases(map[string]failureCase{
		"survives the kill of the first stage":   {func(_ *processFixture, stages []*process) { stages[0].kill() }},
		"survives the kill of the last stage":    {func(_ *processFixture, stages []*process) { stages[1].kill() }},
		"survives the freeze of the first stage": {func(_ *processFixture, stages []*process) { stages[0].freeze() }},
		"survives the freeze of the last stage":  {func(_ *processFixture, stages []*process) { stages[1].freeze() }},
		"survives the freeze of the platform":    {func(s *processFixture, _ []*process) { s.platform.freeze() }},
		"survives the kill of the first stage and the freeze of the platform": {func(s *processFixture, stages []*process) {
			stages[0].kill()
			s.platform.freeze()
		}},
	}, func(c failureCase) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		s := newProcessFixture(ctx)
		path := s.nextPath()
		watch := watchReplies(ctx, s.urls)
		resp, err := postCompletion(s.callers, "quote for six boards", 150, true)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		text, done := readStream(resp, 30, func() { c.fail(s, s.enginesOnPath(path)) })
		replies := watch.stop()
		gomega.Expect(done).To(gomega.BeTrue(), func() string {
			return fmt.Sprintf("%s\npath %s, longest times without a reply: %s\n%s\n%s", text, path, replies, fetchCounters(s.operators), s.fetchLoads())
		})
		gomega.Expect(text).To(gomega.Equal(bergamotfake.Reference("quote for six boards", 0, 12, 150)))
	})
})

// fetchLoads returns what the engines report of their spans and queues, an error for one that does not answer.
func (s *processFixture) fetchLoads() string {
	var lines []string
	for name := range s.engines {
		lines = append(lines, name+": "+fetchText(s.urls[name]))
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

// nextPath returns the path that the entry will choose for the next request: an idle entry chooses the same path as for
// the short request that is sent here.
func (s *processFixture) nextPath() string {
	resp, err := postCompletion(s.callers, "path", 1, false)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.Header.Get("Bergamot-Path")
}
