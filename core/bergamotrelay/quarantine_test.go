package bergamotrelay

import (
	"context"
	"fmt"
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

type endCase struct {
	service   bergamotconfig.Service
	replies   []reply
	alive     bool // the runner answers after it broke off
	want      string
	wantSends int
	suspect   bool // the request is suspect afterwards
	confirmed bool
}

var _ = ginkgo.Describe("a request whose runner breaks off", func() {
	silent := reply{broken: true}
	// Guards against sending a request on which a runner crashed to further runners, and against blaming requests that waited
	// at the runner, that had events, or whose runner has only closed the connection.
	bergamottest.Cases(map[string]endCase{
		"is suspect when the runner crashed before the first event": {model, []reply{silent, {events: 2}}, false, "target yes", 1, true, false},
		"is sent again when the runner is alive":                    {model, []reply{silent, {events: 2}}, true, "answered", 2, false, false},
		"is resumed when the runner crashed after an event":         {model, []reply{{events: 1, broken: true}, {events: 2}}, false, "answered", 2, false, false},
		"is sent again when the runner crashed before it answered":  {model, []reply{{failure: reset()}, {events: 2}}, false, "answered", 2, false, false},
		"is confirmed as a call when a second runner crashes on it": {plain, []reply{{failure: reset()}, {failure: reset()}, {status: 200}}, false, "target unknown", 2, true, true},
		"is not suspect as a call that another runner has answered": {plain, []reply{{failure: reset()}, {status: 200}}, false, "answered", 2, false, false},
	}, func(c endCase) {
		g := newRig(route(resumable), c.service, c.replies...)
		g.prompt("first", "bad", "own")
		if c.alive {
			g.reporter = aliveReporter{}
		}
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
		q := &Quarantine{Clock: clock, Suspects: bergamotsuspect.NewLedger(clock), Isolation: bergamotsuspect.NewIsolation(), Reporter: silentReporter{}}
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
