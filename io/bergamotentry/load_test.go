package bergamotentry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotsetting"
	"bergamotspur/io/bergamotengine"
	"bergamotspur/io/bergamotentry"
	"bergamotspur/io/bergamotfake"
	"bergamotspur/io/bergamotlist"
)

const (
	drainKey     = "drain-key"
	drainTokens  = 80
	drainCallers = 24 // callers, each of which sends one request after the other
)

// runnerFixture is a fake platform with four runners and one entry.
type runnerFixture struct {
	*testPlatform
	engines  []*bergamotfake.Engine
	entry    *bergamotentry.Entry
	shutDown context.CancelFunc
	done     chan error
}

func newRunnerFixture(ctx context.Context, step time.Duration) *runnerFixture {
	p := &runnerFixture{testPlatform: newTestPlatform(), done: make(chan error, 1)}
	for n := range 4 {
		from := 6 * (n % 2)
		e := bergamotfake.NewEngine(bergamotengine.HoldingMessage{Model: "care", Version: "1", From: from, To: from + 6})
		e.StepTime = step
		gomega.Expect(e.Start("127.0.0.1:0")).To(gomega.Succeed())
		p.engines = append(p.engines, e)
		p.platform.Instances.Put(bergamotlist.InstanceMessage{
			Name: fmt.Sprintf("runner%d", n), Address: e.Address(), Role: "runner", MaxLayers: 6, State: "live",
		})
	}
	p.rollOut(ctx)
	text := strings.ReplaceAll(`[entry]
name = entry1
centre = tallinn
[listen]
callers = 127.0.0.1:0
operators = 127.0.0.1:0
[platform]
table = ADDRESS
objects = ADDRESS
weights = ADDRESS
list = ADDRESS
[timing]
probe = 100ms
head = 100ms
poll = 100ms
[trust]
operators = mari:`, "ADDRESS", p.platform.Address())
	setting, err := bergamotsetting.Parse("drain", []byte(text+p.public+"\n"))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	p.entry = &bergamotentry.Entry{Setting: setting, Log: ginkgo.GinkgoWriter}
	gomega.Expect(p.entry.Init()).To(gomega.Succeed())
	ctx, p.shutDown = context.WithCancel(context.WithoutCancel(ctx))
	go func() { p.done <- p.entry.Run(ctx) }()
	gomega.Eventually(func() int {
		holding := 0
		for _, i := range p.entry.View().Fleet().Instances() {
			holding += len(i.Holdings())
		}
		return holding
	}).WithTimeout(20 * time.Second).Should(gomega.Equal(4))
	gomega.Eventually(func() bool { return p.entry.View().Bundle() != nil }).WithTimeout(20 * time.Second).Should(gomega.BeTrue())
	return p
}

func (p *runnerFixture) rollOut(ctx context.Context) {
	b, err := p.rollout.Propose(ctx, "bundle", fmt.Appendf(nil, "[bundle]\nversion = 1\n[model care]\nlayers = 12\n"+
		"[pipeline advice]\nmodel = care\nlimit = 500\n[operator mari]\nkey = %s\n[workspace kitchen]\nkeys = %s\n"+
		"pipelines = *\nrate = 100000\ntokens = 10000000\n", p.public, bergamotbundle.HashKey(drainKey)))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = p.rollout.Approve(ctx, b.Digest(), "mari", p.key)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = p.rollout.Roll(ctx, b.Digest(), "mari")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
}

// stream sends one request and returns the text of its answer; whole reports whether the answer ended properly, accepted
// whether it began, at which time begun is called.
func (p *runnerFixture) stream(prompt string, begun func()) (text string, whole, accepted bool) {
	body, _ := json.Marshal(map[string]any{"model": "advice", "prompt": prompt, "max_tokens": drainTokens, "stream": true})
	r, err := http.NewRequest(http.MethodPost, "http://"+p.entry.CallerAddress()+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return "", false, false
	}
	r.Header.Set("Authorization", "Bearer "+drainKey)
	resp, err := http.DefaultClient.Do(r)
	if err != nil || resp.StatusCode != http.StatusOK {
		return "", false, false
	}
	begun()
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	whole = err == nil && bytes.HasSuffix(data, []byte("data: [DONE]\n\n"))
	for line := range strings.Lines(string(data)) {
		var m struct{ Choices []struct{ Text string } }
		if json.Unmarshal([]byte(strings.TrimPrefix(line, "data: ")), &m) == nil && len(m.Choices) > 0 {
			text += m.Choices[0].Text
		}
	}
	return text, whole, true
}

func (p *runnerFixture) close() {
	for _, e := range p.engines {
		e.Kill()
	}
}

var _ = ginkgo.Describe("an entry under load", func() {
	// Guards against a shutdown that cuts off an answer in flight or that accepts a request and then drops it.
	ginkgo.It("drains without cutting off a request", func(ctx context.Context) {
		// An answer takes longer than the HTTP server's own shutdown timeout, so that only draining lets it finish.
		p := newRunnerFixture(ctx, 20*time.Millisecond)
		defer p.close()
		var begun atomic.Int64
		faults, whole := make(chan string, drainCallers), make(chan int, drainCallers)
		for n := range drainCallers {
			go func() {
				prompt, count, fault := fmt.Sprintf("board %d", n), 0, ""
				for {
					text, ok, accepted := p.stream(prompt, func() { begun.Add(1) })
					if !accepted {
						break
					}
					if !ok || text != bergamotfake.Reference(prompt, 0, 12, drainTokens) {
						fault = fmt.Sprintf("%s: whole %v: %s", prompt, ok, text)
					}
					count++
				}
				faults <- fault
				whole <- count
			}()
		}
		gomega.Eventually(begun.Load).WithTimeout(20 * time.Second).Should(gomega.BeNumerically(">=", drainCallers))
		p.shutDown()
		total := 0
		for range drainCallers {
			gomega.Expect(<-faults).To(gomega.BeEmpty())
			total += <-whole
		}
		gomega.Expect(total).To(gomega.Equal(int(begun.Load())))
		gomega.Expect(<-p.done).To(gomega.Succeed())
	})
	// Guards against failover that works in its own package but is not wired into the entry.
	ginkgo.It("completes every answer when a runner dies that the instance list still calls live", func(ctx context.Context) {
		p := newRunnerFixture(ctx, 2*time.Millisecond)
		defer p.close()
		var begun atomic.Int64
		faults := make(chan string, drainCallers)
		for n := range drainCallers {
			go func() {
				prompt := fmt.Sprintf("board %d", n)
				text, whole, _ := p.stream(prompt, func() { begun.Add(1) })
				if !whole || text != bergamotfake.Reference(prompt, 0, 12, drainTokens) {
					faults <- fmt.Sprintf("%s: whole %v: %s", prompt, whole, text)
					return
				}
				faults <- ""
			}()
		}
		gomega.Eventually(begun.Load).WithTimeout(20 * time.Second).Should(gomega.BeNumerically(">=", drainCallers/2))
		p.engines[0].Kill()
		for range drainCallers {
			gomega.Expect(<-faults).To(gomega.BeEmpty())
		}
		i, ok := p.entry.View().Fleet().Instance("runner0")
		gomega.Expect(ok).To(gomega.BeTrue())
		gomega.Expect(i.Usable()).To(gomega.BeFalse())
		gomega.Expect(p.entry.Metrics().Value("refusal.suspect")).To(gomega.BeZero())
		p.shutDown()
		gomega.Expect(<-p.done).To(gomega.Succeed())
	})
})
