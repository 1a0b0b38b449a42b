package bergamotrelay

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotcluster"
	"bergamotspur/core/bergamotconfig"
	"bergamotspur/core/bergamotstep"
	"bergamotspur/core/bergamotsuspect"
	"bergamotspur/core/bergamottest"
)

// aliveReporter answers every request for a report as the process of instance does.
type aliveReporter struct{}

func (aliveReporter) Report(context.Context, string) (bergamotcluster.Report, error) {
	return bergamotcluster.NewReport(bergamotcluster.ReportSpec{}), nil
}

// prompt gives the rig's request the parts of a prompt, the last of which is its own.
func (g *rig) prompt(parts ...string) {
	r, s := g.x.Route(), g.x.Service()
	g.x = NewExchange(NewRequest(RequestSpec{ID: "1", LastEvent: -1, PromptTokens: 10, AnswerTokens: 10, PromptParts: parts, Body: []byte(fmt.Sprint(parts)), ArrivedAt: now}),
		g.views.view, g.caller)
	g.x.SetRoute(r, s)
	g.x.SetDeadline(now.Add(20 * time.Second))
}

var resumable = bergamotconfig.RouteSpec{Type: bergamotconfig.RouteStreaming, Resumable: true, MaxAttempts: 2}

// unlimitedBudget allows every retry.
type unlimitedBudget struct{}

func (unlimitedBudget) RecordFirst(string)              {}
func (unlimitedBudget) Take(string) bool                { return true }
func (unlimitedBudget) TakeWithin(string, float64) bool { return true }

// crashingUpstream lets requests wait at their runners until answer is closed. A request whose body names the part "deadly"
// crashes its runner, which breaks off all that wait there.
type crashingUpstream struct {
	mu      sync.Mutex
	waiting map[string][]chan struct{}
	answer  chan struct{}
	crashes int
}

func (u *crashingUpstream) Send(ctx context.Context, a Attempt) (Response, error) {
	u.mu.Lock()
	if strings.Contains(string(a.Request().Body()), "deadly") {
		for _, c := range u.waiting[a.Runner()] {
			close(c)
		}
		delete(u.waiting, a.Runner())
		u.crashes++
		u.mu.Unlock()
		return nil, reset()
	}
	crashed := make(chan struct{})
	u.waiting[a.Runner()] = append(u.waiting[a.Runner()], crashed)
	u.mu.Unlock()
	select {
	case <-crashed:
		return nil, reset()
	case <-u.answer:
		return &fakeResponse{reply: reply{events: 1}, next: 0, left: 1}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (u *crashingUpstream) count() (n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, w := range u.waiting {
		n += len(w)
	}
	return n
}

type endCase struct {
	service   bergamotconfig.Service
	replies   []reply
	lastEvent int                      // that the caller has, -1 for none
	process   bergamotcluster.Reporter // of the runner after it broke off
	want      string
	wantSends int
	suspect   bool // the request is suspect afterwards
	confirmed bool
}

var _ = ginkgo.Describe("a request whose runner breaks off", func() {
	alive, gone, silent := aliveReporter{}, goneReporter{}, silentReporter{}
	broken := reply{broken: true}
	// Guards against sending a request on which a runner crashed to further runners, and against blaming requests that waited
	// at the runner, that had events, or whose runner has only closed the connection, also where it then falls silent for a second
	// like a sound one that pauses.
	bergamottest.Cases(map[string]endCase{
		"is suspect when the runner crashed before the first event":  {model, []reply{broken, {events: 2}}, -1, gone, "target yes", 1, true, false},
		"is sent again when the runner is alive":                     {model, []reply{broken, {events: 2}}, -1, alive, "answered", 2, false, false},
		"is resumed when the runner crashed after an event":          {model, []reply{{events: 1, broken: true}, {events: 2}}, -1, gone, "answered", 2, false, false},
		"is sent again when the runner crashed before it answered":   {model, []reply{{failure: reset()}, {events: 2}}, -1, gone, "answered", 2, false, false},
		"is not suspect when another runner has answered it":         {model, []reply{{failure: reset()}, {events: 2}}, -1, gone, "answered", 2, false, false},
		"is confirmed when two runners crashed before they answered": {model, []reply{{failure: reset()}, {failure: reset()}, {events: 2}}, -1, gone, "target unknown", 2, true, true},
		"is not suspect when two alive runners broke off":            {model, []reply{{failure: reset()}, {failure: reset()}, {events: 2}}, -1, alive, "target unknown", 2, false, false},
		"is confirmed as a call when a second runner crashes on it":  {plain, []reply{{failure: reset()}, {failure: reset()}, {status: 200}}, -1, gone, "target unknown", 2, true, true},
		"is not suspect as a call that another runner has answered":  {plain, []reply{{failure: reset()}, {status: 200}}, -1, gone, "answered", 2, false, false},
		"is sent again when the runner only pauses":                  {model, []reply{broken, {events: 2}}, -1, silent, "answered", 2, false, false},
		"is not suspect when two runners pause after it":             {model, []reply{broken, broken, {events: 2}}, -1, silent, "target yes", 2, false, false},
		"is not suspect when two runners pause before they answer":   {model, []reply{{failure: reset()}, {failure: reset()}, {events: 2}}, -1, silent, "target unknown", 2, false, false},
		"is not suspect as a call when two runners pause":            {plain, []reply{{failure: reset()}, {failure: reset()}, {status: 200}}, -1, silent, "target unknown", 2, false, false},
		"is sent again when the rest may be missing in a pause":      {model, []reply{{}, {events: 2}}, 3, silent, "answered", 2, false, false},
	}, func(c endCase) {
		g := newRig(route(resumable), c.service, c.replies...)
		g.prompt("first", "bad", "own")
		g.x.Request().spec.LastEvent = c.lastEvent
		g.reporter = c.process
		err := error(nil)
		if c.service.Engine() != nil {
			err = g.stream(context.Background())
		} else {
			err = g.call(context.Background())
		}
		gomega.Expect(outcomeOf(err)).To(gomega.Equal(c.want))
		gomega.Expect(g.upstream.attempts).To(gomega.HaveLen(c.wantSends))
		gomega.Expect(g.ledger.IsSuspect(g.x.Contents()...)).To(gomega.Equal(c.suspect))
		gomega.Expect(g.ledger.IsConfirmed(g.x.Contents()...)).To(gomega.Equal(c.confirmed))
	})
})

var _ = ginkgo.Describe("a request on which runners crash each time that it comes", func() {
	// Guards against a request that crashes runners for ever: it was never refused when they crashed before they sent the
	// header of an answer (review/2), or when its caller named a last event.
	bergamottest.Cases(map[string]struct {
		reply      reply
		lastEvent  int
		resumable  bool
		maxCrashes int
	}{
		"before the header":                                  {reply{failure: reset()}, -1, true, 2},
		"before the header, on a route without retries":      {reply{failure: reset()}, -1, false, 2},
		"before the header, with a last event":               {reply{failure: reset()}, 3, true, 2},
		"after the header":                                   {reply{broken: true}, -1, true, 2},
		"after the header, with a last event":                {reply{broken: true}, 3, true, 2},
		"after the header, where the end looks like a whole": {reply{}, 3, true, 2},
	}, func(c struct {
		reply      reply
		lastEvent  int
		resumable  bool
		maxCrashes int
	},
	) {
		g := newRig(route(bergamotconfig.RouteSpec{Type: bergamotconfig.RouteStreaming, Resumable: c.resumable, MaxAttempts: 2}), model, c.reply)
		g.ledger.CrashOnce = true
		last := bergamotstep.Func[*Exchange](func(ctx context.Context, _ *Exchange) error { return g.stream(ctx) })
		for n := range 6 {
			// Each crash is that of another process.
			g.views.view = bergamotcluster.NewView(nil, 0, fleetStartedAt(int64(n+1)))
			g.x = NewExchange(NewRequest(RequestSpec{ID: fmt.Sprint(n), LastEvent: c.lastEvent, PromptTokens: 10, AnswerTokens: 10, ArrivedAt: now}), g.views.view, g.caller)
			g.x.SetRoute(route(bergamotconfig.RouteSpec{Type: bergamotconfig.RouteStreaming, Resumable: c.resumable, MaxAttempts: 2}), model)
			g.x.SetDeadline(g.clock.Now().Add(20 * time.Second))
			gomega.Expect(outcomeOf(g.quarantine().Filter(context.Background(), g.x, last))).NotTo(gomega.Equal("answered"))
			g.clock.Advance(repeatDelay)
		}
		gomega.Expect(len(g.upstream.attempts)).To(gomega.BeNumerically("<=", c.maxCrashes))
		gomega.Expect(g.ledger.IsConfirmed(g.x.Contents()...)).To(gomega.BeTrue())
	})

	// Guards against refusing sound requests because runners crashed while they waited there: other callers' requests with the
	// same text were refused for minutes, 640,000 times in a run of review/2.
	ginkgo.It("does not blame what a runner has answered just before, but what it crashes on again", func() {
		g := newRig(route(resumable), model)
		q := g.quarantine()
		begin := func(parts ...string) *trial {
			g.prompt(parts...)
			t, err := q.begin(context.Background(), g.x)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			return t
		}
		isSuspect := func(parts ...string) bool {
			g.prompt(parts...)
			return g.ledger.IsSuspect(g.x.Contents()...)
		}
		crash := func(process string, parts ...string) {
			t := begin(parts...)
			t.checkUnstarted(context.Background(), instance(process, "llm"))
			t.finish()
		}
		begin("good", "own").answered()
		crash("x", "good", "own")
		gomega.Expect(isSuspect("good", "own")).To(gomega.BeFalse())
		crash("x", "good", "bad", "1")
		gomega.Expect(isSuspect("good", "2")).To(gomega.BeFalse())
		gomega.Expect(isSuspect("bad", "2")).To(gomega.BeTrue())
		begin("good", "3").answered()
		crash("y", "good", "4")
		gomega.Expect(isSuspect("good", "5")).To(gomega.BeFalse())
		crash("z", "good", "6") // not answered since the crash of y
		gomega.Expect(isSuspect("good", "7")).To(gomega.BeTrue())
	})

	// Guards against refusing sound requests of the same text, none of which was answered yet, because several of them wait at
	// both runners that a deadly one makes crash.
	ginkgo.It("is told from sound requests that wait at the same runners", func() {
		for range 50 {
			g := newRig(route(resumable), model)
			u := &crashingUpstream{waiting: map[string][]chan struct{}{}, answer: make(chan struct{})}
			h := g.streamHandler(u, aliveReporter{})
			h.Budget = unlimitedBudget{}
			const sound = 12
			done := make(chan error, sound)
			request := func(own string) *Exchange {
				g.caller = &caller{}
				g.prompt("first", own)
				return g.x
			}
			for range sound {
				x := request("sound")
				go func() { done <- h.Handle(context.Background(), x) }()
			}
			gomega.Eventually(u.count).Should(gomega.Equal(sound))
			gomega.Expect(h.Handle(context.Background(), request("deadly"))).NotTo(gomega.Succeed())
			gomega.Expect(h.Quarantine.isConfirmed(request("sound"))).To(gomega.BeFalse())
			close(u.answer)
			for range sound {
				<-done
			}
			for range 2 {
				gomega.Expect(h.Handle(context.Background(), request("deadly"))).NotTo(gomega.Succeed())
			}
			gomega.Expect(h.Quarantine.isConfirmed(request("deadly"))).To(gomega.BeTrue())
			gomega.Expect(h.Quarantine.isConfirmed(request("sound"))).To(gomega.BeFalse())
			gomega.Expect(u.crashes).To(gomega.BeNumerically("<=", 3))
			gomega.Expect(h.Quarantine.suspects).To(gomega.BeEmpty())
			gomega.Expect(h.Quarantine.checks).To(gomega.BeEmpty())
		}
	})

	// Guards against memory that grows with the number of requests.
	ginkgo.It("keeps a bounded number of sound contents for a bounded time", func() {
		s := &soundContents{}
		content := func(n int) []bergamotsuspect.Digest {
			return []bergamotsuspect.Digest{bergamotsuspect.NewDigest(fmt.Sprint(n))}
		}
		for n := range 3 * maxSoundContents {
			s.add(content(n), now)
		}
		gomega.Expect(s.current).To(gomega.HaveLen(maxSoundContents))
		s.add(content(-1), now.Add(soundWindow))
		gomega.Expect(s.unsound(content(0), "x", now.Add(soundWindow))).To(gomega.BeEmpty())
		gomega.Expect(s.unsound(content(-1), "x", now.Add(2*soundWindow))).To(gomega.BeEmpty())
		gomega.Expect(s.unsound(content(0), "x", now.Add(2*soundWindow))).NotTo(gomega.BeEmpty())
		gomega.Expect(s.unsound(content(-1), "x", now.Add(4*soundWindow))).NotTo(gomega.BeEmpty())
	})
})

type quarantineCase struct {
	failures []string // last parts of the requests on which runners crashed; all have the parts first and bad
	parts    []string
	want     string
}

var _ = ginkgo.Describe("the quarantine", func() {
	// Guards against runners that crash on a part of a prompt that is known to be deadly, against repeating the same request
	// before others show its cause, and against refusing sound requests with one of its parts.
	bergamottest.Cases(map[string]quarantineCase{
		"refuses a part on which two runners crashed":            {[]string{"1", "2"}, []string{"first", "bad", "3"}, "suspect no"},
		"admits the other part":                                  {[]string{"1", "2"}, []string{"first", "3"}, "answered"},
		"admits the same own part without the others":            {[]string{"1", "2"}, []string{"1"}, "answered"},
		"does not send the same request again":                   {[]string{"1"}, []string{"first", "bad", "1"}, "suspect no"},
		"sends another request with the same parts":              {[]string{"1"}, []string{"first", "bad", "2"}, "answered"},
		"sends a request with a part that a suspect request had": {[]string{"1"}, []string{"first", "2"}, "answered"},
	}, func(c quarantineCase) {
		g := newRig(route(resumable), model, reply{events: 2})
		for i, own := range c.failures {
			g.prompt("first", "bad", own)
			g.ledger.RecordFailure(g.x.Contents(), fmt.Sprint("runner", i), i > 0)
		}
		g.prompt(c.parts...)
		last := bergamotstep.Func[*Exchange](func(ctx context.Context, _ *Exchange) error { return g.stream(ctx) })
		err := g.quarantine().Filter(context.Background(), g.x, last)
		gomega.Expect(outcomeOf(err)).To(gomega.Equal(c.want))
		if c.want != "answered" {
			gomega.Expect(g.upstream.attempts).To(gomega.BeEmpty())
		}
	})

	// Guards against several runners that crash at the same time on requests with the same suspect parts.
	ginkgo.It("lets suspects with the same parts run one after another", func(ctx context.Context) {
		clock := bergamotclock.NewVirtual(now)
		q := &Quarantine{Clock: clock, Suspects: bergamotsuspect.NewLedger(clock), Isolation: bergamotsuspect.NewIsolation(), Reporter: goneReporter{}, AreLinksDoubtful: fakeLinks{}.AreDoubtful}
		request := func(parts ...string) *Exchange {
			g := newRig(route(resumable), model)
			g.prompt(parts...)
			return g.x
		}
		q.Suspects.RecordFailure(request("first", "bad", "1").Contents(), "runner", false)
		first, err := q.begin(ctx, request("first", "bad", "2"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		second := make(chan error, 1)
		go func() {
			_, err := q.begin(ctx, request("first", "bad", "3"))
			second <- err
		}()
		other, err := q.begin(ctx, request("first", "4"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		other.end()
		gomega.Expect(second).NotTo(gomega.Receive())
		first.checkCrash(ctx, instance("x", "llm"), true)
		first.end()
		gomega.Expect(outcomeOf(<-second)).To(gomega.Equal("suspect no"))
	})

	// Guards against a runner that crashes on a request that waited there while others showed its cause.
	ginkgo.It("takes a request back from the runner where it waits when its parts are confirmed", func() {
		g := newRig(route(resumable), model, reply{hangs: true})
		g.prompt("first", "bad", "own")
		waiting := g.x
		done := make(chan error, 1)
		go func() { done <- g.stream(context.Background()) }()
		gomega.Eventually(g.upstream.runners).Should(gomega.HaveLen(1))
		for i, own := range []string{"1", "2"} {
			g.prompt("first", "bad", own)
			g.ledger.RecordFailure(g.x.Contents(), fmt.Sprint("runner", i), i > 0)
		}
		gomega.Eventually(done).Should(gomega.Receive(gomega.WithTransform(outcomeOf, gomega.Equal("suspect unknown"))))
		gomega.Expect(g.upstream.runners()).To(gomega.HaveLen(1))
		gomega.Expect(waiting.Trace().Chunks()).To(gomega.BeZero())
	})
})
