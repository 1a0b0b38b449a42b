package bergamotcommand_test

import (
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
	"bergamotspur/io/bergamotengine"
	"bergamotspur/io/bergamotentry"
	"bergamotspur/io/bergamotfake"
	"bergamotspur/io/bergamotlist"
)

// entryPairFixture holds two entries, each a separate process, and the fakes that they use, which run in the test process.
type entryPairFixture struct {
	platform          *bergamotfake.Platform
	service           *bergamotfake.Service
	engine            *bergamotfake.Engine
	entries           [2]*process
	callerAddresses   [2]string
	operatorAddresses [2]string
}

// eventually is gomega.Eventually with a timeout that covers the start of processes and a roll.
func eventually(f any) gomega.AsyncAssertion {
	return gomega.Eventually(f).WithTimeout(30 * time.Second)
}

func newEntryPairFixture(ctx context.Context) *entryPairFixture {
	p := &entryPairFixture{
		platform: bergamotfake.NewPlatform(), service: bergamotfake.NewService(),
		engine: bergamotfake.NewEngine(bergamotengine.HoldingMessage{Model: "care", Version: "1", From: 0, To: 12}),
	}
	p.engine.StepTime = time.Millisecond
	for _, fake := range []interface {
		Start(address string) error
		Kill()
	}{p.platform, p.service, p.engine} {
		gomega.Expect(fake.Start("127.0.0.1:0")).To(gomega.Succeed())
		ginkgo.DeferCleanup(fake.Kill)
	}
	rollOut(ctx, p.platform.Address(), testBundle)
	p.addInstance("pickup1", p.service.Address(), "pickup")
	p.addInstance("runner1", p.engine.Address(), "runner")
	ca, err := bergamotfake.NewAuthority(ginkgo.GinkgoT().TempDir())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	for n := range p.entries {
		name := fmt.Sprintf("entry%d", n+1)
		cert, key, err := ca.Issue(name)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		e := start("serve", writeSettings(name, p.platform.Address(),
			fmt.Sprintf("[peers]\nlisten = 127.0.0.1:0\ncert = %s\nkey = %s\nca = %s\n", cert, key, ca.CA())))
		p.entries[n], p.callerAddresses[n], p.operatorAddresses[n] = e, e.readValue("callers"), e.readValue("operators")
		p.addInstance(name, e.readValue("peers"), "entry")
	}
	for n := range p.entries {
		eventually(func() bool {
			m := p.fetchStatus(n)
			return m.Ready && len(m.Instances) == 4 && len(m.Members) == 2
		}).Should(gomega.BeTrue())
	}
	return p
}

func (p *entryPairFixture) addInstance(name, address, role string) {
	p.platform.Instances.Put(bergamotlist.InstanceMessage{
		Name: name, Address: address, Centre: "tallinn", Kind: "cpu", Role: role, MaxLayers: 12, State: "live",
	})
}

// statusClient reads from the operators' addresses; its timeout keeps one connection without a reply from using up the
// time of a whole check.
var statusClient = &http.Client{Timeout: 5 * time.Second}

// fetchStatus returns the status of an entry, or a zero message when it does not answer.
func (p *entryPairFixture) fetchStatus(n int) (m bergamotentry.StatusMessage) {
	resp, err := statusClient.Get("http://" + p.operatorAddresses[n] + "/status")
	if err != nil {
		return m
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(&m) // an entry that exits while it answers counts as one that does not answer
	return m
}

// memberState returns the state that an entry reports of the other one, empty when it reports none.
func memberState(m bergamotentry.StatusMessage, other string) string {
	for _, member := range m.Members {
		if member.Name == other {
			return member.State
		}
	}
	return ""
}

// missingFor returns what keeps an entry from having the bundle of that version in force and seeing the other one alive,
// empty when nothing does. The text also says what the entry has counted, so that a failed spec shows the cause.
func (p *entryPairFixture) missingFor(n int, version int64, m bergamotentry.StatusMessage) string {
	state := memberState(m, fmt.Sprintf("entry%d", 2-n))
	if m.Version == version && m.Ready && state == "alive" {
		return ""
	}
	return fmt.Sprintf("entry%d: version %d, ready %t, head read %d ms ago, sees the other entry %q; %s",
		n+1, m.Version, m.Ready, m.HeadAge, state, fetchCounters(p.operatorAddresses[n]))
}

// fetchCounters returns the counters of an entry that are not zero, on one line.
func fetchCounters(operators string) string {
	lines := slices.DeleteFunc(strings.Split(fetchText("http://"+operators+"/metrics"), "\n"), func(line string) bool { return strings.HasSuffix(line, " 0") })
	return strings.Join(lines, ", ")
}

// fetchText returns the body at a URL, or the error.
func fetchText(url string) string {
	resp, err := statusClient.Get(url)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// book sends a call with the idempotency key "k" to an entry. It returns the HTTP status, followed by "replay" for a
// stored answer, or an empty text when the entry did not answer.
func (p *entryPairFixture) book(n int) string {
	r, err := http.NewRequest(http.MethodPost, "http://"+p.callerAddresses[n]+"/v1/services/pickup/book", strings.NewReader(`{"slot":1}`))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	r.Header.Set("Authorization", "Bearer "+testAPIKey)
	r.Header.Set("Idempotency-Key", "k")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body) // only the status matters
	return strings.TrimSpace(fmt.Sprint(resp.StatusCode, " ", strings.Replace(resp.Header.Get("Bergamot-Replay"), "yes", "replay", 1)))
}

// startBooking sends a call through the first entry to the service, which does not answer while it is set to silent.
func (p *entryPairFixture) startBooking() chan string {
	p.service.Faults.SetSilent(true)
	done := make(chan string, 1)
	go func() {
		defer ginkgo.GinkgoRecover()
		done <- p.book(0)
	}()
	eventually(func() int { return p.service.Faults.Calls("/book") }).Should(gomega.Equal(1))
	return done
}

func (p *process) signal(s syscall.Signal) {
	gomega.Expect(p.cmd.Process.Signal(s)).To(gomega.Succeed())
}

var _ = ginkgo.Describe("two entries as processes", func() {
	// Guards against running the service a second time after an entry was killed between writing the claim and writing
	// the conclusion.
	bergamottest.Cases(map[string]int{
		"never rerun a call whose entry was killed before the service ran it":    0,
		"never rerun a call whose entry was killed after the service had run it": 1,
	}, func(runs int) {
		p := newEntryPairFixture(context.Background())
		done := p.startBooking()
		if runs == 1 {
			p.platform.Table.Faults.SetSilent(true)
			p.service.Faults.SetSilent(false)
			eventually(p.service.Journal).Should(gomega.HaveLen(1))
		}
		p.entries[0].signal(syscall.SIGKILL)
		<-done
		p.platform.Table.Faults.SetSilent(false)
		p.service.Faults.SetSilent(false)
		for range 3 {
			gomega.Expect(p.book(1)).To(gomega.BeElementOf("409", "502", "200 replay"))
		}
		gomega.Expect(len(p.service.Journal())).To(gomega.BeNumerically("<=", 1))
		gomega.Expect(p.service.Faults.Calls("/book")).To(gomega.Equal(1))
	})

	// Guards against an entry that is stopped during a roll and afterwards makes itself or other entries return to the
	// older bundle.
	ginkgo.It("never return to an older bundle after an entry was stopped during a roll", func(ctx context.Context) {
		p := newEntryPairFixture(ctx)
		parent := p.fetchStatus(0).Digest
		p.entries[1].signal(syscall.SIGSTOP)
		text := strings.Replace(testBundle, "version = 1\n", "version = 2\nparent = "+parent+"\n", 1)
		rollOut(ctx, p.platform.Address(), text)
		eventually(func() int64 { return p.fetchStatus(0).Version }).Should(gomega.Equal(int64(2)))
		eventually(func() string { return memberState(p.fetchStatus(0), "entry2") }).Should(gomega.Equal("dead"))
		p.entries[1].signal(syscall.SIGCONT)
		var last [2]int64
		eventually(func() (missing []string) {
			for n := range last {
				m := p.fetchStatus(n)
				if m.Entry != "" { // an entry that does not answer has not returned to an older bundle
					gomega.Expect(m.Version).To(gomega.BeNumerically(">=", last[n]))
					last[n] = m.Version
				}
				if text := p.missingFor(n, 2, m); text != "" {
					missing = append(missing, text)
				}
			}
			return missing
		}).Should(gomega.BeEmpty())
	})

	// Guards against a shutdown that cuts off streams or calls in flight.
	ginkgo.It("finish streams and bookings in flight on SIGTERM", func(ctx context.Context) {
		p := newEntryPairFixture(ctx)
		resp, err := postCompletion(p.callerAddresses[0], "long quote", 200, true)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer resp.Body.Close()
		done := p.startBooking()
		p.entries[0].terminate()
		eventually(func() string { return p.fetchStatus(0).Advice }).Should(gomega.ContainSubstring("shutting down"))
		p.service.Faults.SetSilent(false)
		gomega.Expect(<-done).To(gomega.Equal("200"))
		stream, err := io.ReadAll(resp.Body)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(string(stream)).To(gomega.HaveSuffix("data: [DONE]\n\n"))
		gomega.Expect(p.entries[0].wait()).To(gomega.Succeed())
		gomega.Expect(p.service.Journal()).To(gomega.HaveLen(1))
	})
})
