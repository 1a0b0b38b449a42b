package bergamotcommand_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamottest"
	"bergamotspur/io/bergamotfake"
)

// system is a platform, two engines for every layer and an entry, each a process of its own.
type system struct {
	platform *process
	engines  map[string]*process
	entry    *process
	callers  string
}

func newSystem(ctx context.Context) *system {
	s := &system{platform: start("fake", "platform"), engines: map[string]*process{}}
	platform := s.platform.value("address")
	for n, r := range [][2]string{{"0", "6"}, {"6", "12"}, {"0", "6"}, {"6", "12"}} {
		name := fmt.Sprintf("runner%d", n)
		s.engines[name] = start("fake", "engine", "--platform", platform, "--name", name, "--from", r[0], "--to", r[1], "--step", "2ms")
		s.engines[name].value("address")
	}
	rollOut(ctx, platform, wholeBundle)
	s.entry = start("serve", writeSettings("entry1", platform))
	s.callers = s.entry.value("callers")
	gomega.Eventually(func() string {
		resp, err := complete(s.callers, "warm up", 1, false)
		if err != nil {
			return ""
		}
		return textOf(resp)
	}).WithTimeout(20 * time.Second).Should(gomega.Equal(bergamotfake.Reference("warm up", 0, 12, 1)))
	return s
}

// freeze stops the process without closing its connections; it goes on when the spec ends.
func (p *process) freeze() {
	gomega.Expect(p.cmd.Process.Signal(syscall.SIGSTOP)).To(gomega.Succeed())
	ginkgo.DeferCleanup(func() { _ = p.cmd.Process.Signal(syscall.SIGCONT) })
}

func (p *process) kill() { gomega.Expect(p.cmd.Process.Kill()).To(gomega.Succeed()) }

// readStream reads a streamed completion and calls at once for the given event number.
func readStream(resp *http.Response, at int, once func()) (text string, done bool) {
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
			return text, false
		}
		text += m.Choices[0].Text
		if n++; n == at {
			once()
		}
	}
	return text, false
}

// stagesOf returns the engines that are stepping spans now.
func (s *system) stagesOf(path string) []*process {
	var out []*process
	for _, name := range strings.Split(path, ",") {
		out = append(out, s.engines[name])
	}
	return out
}

type failureCase struct {
	fail func(s *system, stages []*process)
}

var _ = ginkgo.Describe("a streamed answer between processes", func() {
	// Each case is a failure while the answer is on its way; the caller must get the text that a single
	// machine gives, without a token lost, doubled or mixed from two attempts.
	bergamottest.Cases(map[string]failureCase{
		"survives the kill of the first stage":   {func(_ *system, stages []*process) { stages[0].kill() }},
		"survives the kill of the last stage":    {func(_ *system, stages []*process) { stages[1].kill() }},
		"survives the freeze of the first stage": {func(_ *system, stages []*process) { stages[0].freeze() }},
		"survives the freeze of the last stage":  {func(_ *system, stages []*process) { stages[1].freeze() }},
		"survives the freeze of the platform":    {func(s *system, _ []*process) { s.platform.freeze() }},
		"survives the kill of the first stage and the freeze of the platform": {func(s *system, stages []*process) {
			stages[0].kill()
			s.platform.freeze()
		}},
	}, func(c failureCase) {
		ctx := context.Background()
		s := newSystem(ctx)
		path := s.busyPath()
		resp, err := complete(s.callers, "quote for six boards", 150, true)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		text, done := readStream(resp, 30, func() { c.fail(s, s.stagesOf(path)) })
		gomega.Expect(done).To(gomega.BeTrue(), text)
		gomega.Expect(text).To(gomega.Equal(bergamotfake.Reference("quote for six boards", 0, 12, 150)))
	})
})

// busyPath returns the path of a short request; an idle entry chooses the same one for the next request.
func (s *system) busyPath() string {
	resp, err := complete(s.callers, "path", 1, false)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.Header.Get("Bergamot-Path")
}
