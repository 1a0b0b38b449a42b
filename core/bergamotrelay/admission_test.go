package bergamotrelay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotcapacity"
	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotcluster"
	"bergamotspur/core/bergamotconfig"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotpath"
	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamotstep"
	"bergamotspur/core/bergamottest"
)

// admissionRig is the filter with estimates of a fleet of three runners that each have room for memoryTokens tokens.
type admissionRig struct {
	clock     *bergamotclock.Virtual
	filter    *Admission
	estimates *CapacityEstimates
	router    *bergamotpath.Router
	config    *bergamotconfig.Config
	view      *bergamotcluster.View

	mu        sync.Mutex
	decisions []bergamotcapacity.Decision
}

// memoryTokens is the room of each runner of the rig: 0.9 of (1000 MB - 8 layers of 1 MB) at 1 kB for each token and layer.
const memoryTokens = 0.9 * 992 * 1000 / 8

func priorityRoute(name string, priority int, target time.Duration) bergamotconfig.Route {
	return bergamotconfig.NewRoute(bergamotconfig.RouteSpec{
		Name: name, Host: "h", Prefix: "/" + name + "/", Type: bergamotconfig.RouteStreaming, Resumable: true, TargetLatency: target, Priority: priority,
		Split: []bergamotconfig.Share{{Service: "llm", Weight: 1}},
	})
}

func newAdmissionRig(entries int, routes ...bergamotconfig.Route) *admissionRig {
	g := &admissionRig{clock: bergamotclock.NewVirtual(now)}
	g.config = bergamotconfig.New(bergamotconfig.Spec{Version: 1, Routes: routes, Services: []bergamotconfig.Service{model, plain}})
	g.router = &bergamotpath.Router{Clock: g.clock, Random: rand.New(rand.NewPCG(1, 2)), Centre: "a"}
	fleet := bergamotfleet.NewFleet([]bergamotfleet.Instance{instance("x", "llm"), instance("y", "llm"), instance("z", "llm")})
	g.view = bergamotcluster.NewView(g.config, 0, fleet).WithEntries(entries)
	g.filter = &Admission{
		Clock: g.clock, Random: func() float64 { return 0.5 }, Thresholds: bergamotcapacity.DefaultThresholds(), Refresh: func() {},
		OnDecision: func(_ *Exchange, d bergamotcapacity.Decision) {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.decisions = append(g.decisions, d)
		},
	}
	g.estimates = &CapacityEstimates{
		Clock: g.clock, Views: fixedView{g.view}, Router: g.router, Admission: g.filter,
		OnOutOfRange: func(int64, int, int) {}, Estimator: bergamotcapacity.Estimator{CountWindow: time.Second},
	}
	return g
}

// report publishes an estimate from reports in which the requests of all entries use a share of each runner's memory.
func (g *admissionRig) report(share float64) {
	for _, name := range []string{"x", "y", "z"} {
		g.router.RecordShared(name, share*8*memoryTokens, 300*time.Millisecond)
	}
	g.estimates.Step()
}

func (g *admissionRig) exchange(r bergamotconfig.Route, spec RequestSpec) *Exchange {
	if spec.LastEvent == 0 {
		spec.LastEvent = -1
	}
	spec.ArrivedAt = g.clock.Now()
	x := NewExchange(NewRequest(spec), g.view, &caller{})
	x.SetRoute(r, model)
	x.SetDeadline(g.clock.Now().Add(20 * time.Second))
	return x
}

// start passes a request through the filter to a handler that runs until the request is ended. It returns the outcome once the
// request has ended or been refused, and a channel that is closed when it is passed on.
func (g *admissionRig) start(ctx context.Context, x *Exchange, end <-chan struct{}) (outcome <-chan error, passed <-chan struct{}) {
	done, sent := make(chan error, 1), make(chan struct{})
	handler := bergamotstep.Chain[*Exchange](handlerFunc(func(context.Context, *Exchange) error {
		close(sent)
		<-end
		return nil
	}), g.filter)
	go func() { done <- handler.Handle(ctx, x) }()
	return done, sent
}

func (g *admissionRig) status() bergamotcapacity.Status {
	return g.filter.Service("llm").Status(g.clock.Now())
}

func (g *admissionRig) waiting() (n int) {
	for _, l := range g.status().Levels() {
		n += l.Waiting()
	}
	return n
}

var _ = ginkgo.Describe("admission", func() {
	urgent, draft := priorityRoute("urgent", 0, 500*time.Millisecond), priorityRoute("draft", 2, time.Second)
	size := RequestSpec{ID: "1", PromptTokens: 2000, AnswerTokens: 1000}
	ended := make(chan struct{})
	close(ended)
	// crowded returns a rig on which urgent requests arrive and no capacity is left.
	crowded := func() *admissionRig {
		g := newAdmissionRig(4, urgent, draft)
		g.report(1)
		for range 20 {
			outcome, _ := g.start(context.Background(), g.exchange(urgent, size), ended)
			gomega.Expect(<-outcome).To(gomega.Succeed())
		}
		return g
	}

	// Guards against a change for deployments whose requests all have the same priority.
	ginkgo.It("passes everything on where priorities do not differ", func() {
		g := newAdmissionRig(4, draft, priorityRoute("other", 2, time.Second))
		g.report(1)
		for range 20 {
			outcome, _ := g.start(context.Background(), g.exchange(draft, size), ended)
			gomega.Expect(<-outcome).To(gomega.Succeed())
		}
		gomega.Expect(g.decisions).To(gomega.BeEmpty())
	})

	// Guards against urgent requests and resumed streams that wait or are refused for want of capacity, and against a less urgent
	// one that is held back without an estimate or without more urgent ones.
	bergamottest.Cases(map[string]func() (*admissionRig, *Exchange){
		"passes an urgent request on without room": func() (*admissionRig, *Exchange) {
			g := crowded()
			return g, g.exchange(urgent, size)
		},
		"passes a stream that resumes on without room": func() (*admissionRig, *Exchange) {
			g := crowded()
			return g, g.exchange(draft, RequestSpec{ID: "1", PromptTokens: 3000, LastEvent: 7})
		},
		"passes a less urgent request on when the reports are too old": func() (*admissionRig, *Exchange) {
			g := crowded()
			g.clock.Advance(1300 * time.Millisecond)
			return g, g.exchange(draft, size)
		},
		"passes a less urgent request on when no more urgent ones arrive": func() (*admissionRig, *Exchange) {
			g := newAdmissionRig(4, urgent, draft)
			g.report(1)
			return g, g.exchange(draft, size)
		},
		"passes a less urgent request on when there is room": func() (*admissionRig, *Exchange) {
			g := crowded()
			g.report(0.5)
			return g, g.exchange(draft, size)
		},
	}, func(c func() (*admissionRig, *Exchange)) {
		g, x := c()
		outcome, _ := g.start(context.Background(), x, ended)
		gomega.Eventually(outcome).Should(gomega.Receive(gomega.BeNil()))
		gomega.Expect(g.status().InFlight()).To(gomega.BeZero())
	})

	// Guards against a wait without a bound, and against a refusal that does not say when to return.
	ginkgo.It("refuses a less urgent request at its bound as not run", func() {
		g := crowded()
		outcome, _ := g.start(context.Background(), g.exchange(draft, size), ended)
		gomega.Eventually(g.clock.PendingTimers).Should(gomega.Equal(1))
		g.report(1)
		g.clock.Advance(499 * time.Millisecond)
		gomega.Consistently(outcome, "20ms").ShouldNot(gomega.Receive())
		g.clock.Advance(time.Millisecond)
		var err error
		gomega.Eventually(outcome).Should(gomega.Receive(&err))
		bergamottest.ExpectRefusal(err, bergamotrequest.ReasonRoom, bergamotrequest.RunNo)
		gomega.Expect(bergamotrequest.AsRefusal(err).RetryAfter()).To(gomega.And(
			gomega.BeNumerically(">=", 300*time.Millisecond), gomega.BeNumerically("<=", 6500*time.Millisecond)))
		gomega.Expect(g.waiting()).To(gomega.BeZero())
	})

	// Guards against requests that wait to their bound although there is room.
	bergamottest.Cases(map[string]func(g *admissionRig, end chan struct{}){
		"passes a waiting request on when an estimate has room": func(g *admissionRig, _ chan struct{}) { g.report(0) },
		"passes a waiting request on when streams end":          func(_ *admissionRig, end chan struct{}) { close(end) },
	}, func(free func(g *admissionRig, end chan struct{})) {
		g := crowded()
		end := make(chan struct{})
		for range 20 {
			_, passed := g.start(context.Background(), g.exchange(urgent, size), end)
			<-passed
		}
		g.report(0.69) // the streams of this entry, of which the reports have none, take more than twice its share of the rest
		outcome, _ := g.start(context.Background(), g.exchange(draft, size), ended)
		gomega.Eventually(g.clock.PendingTimers).Should(gomega.Equal(1))
		free(g, end)
		gomega.Eventually(outcome).Should(gomega.Receive(gomega.BeNil()))
		gomega.Expect(g.waiting()).To(gomega.BeZero())
	})

	// Guards against an outcome that differs from that of requests that end elsewhere, and against records of requests that have
	// left the queue.
	bergamottest.Cases(map[string]struct {
		end  func(cancel context.CancelCauseFunc)
		want string
	}{
		"ends when the caller goes away":    {func(cancel context.CancelCauseFunc) { cancel(context.Canceled) }, "cancel no"},
		"ends when the entry stops":         {func(cancel context.CancelCauseFunc) { cancel(errStopping) }, "drain no"},
		"ends when the deadline has passed": {nil, "deadline no"},
	}, func(c struct {
		end  func(cancel context.CancelCauseFunc)
		want string
	},
	) {
		g := crowded()
		base := context.Background()
		if c.end == nil {
			var stop context.CancelFunc
			base, stop = context.WithTimeout(base, 20*time.Millisecond)
			defer stop()
		}
		ctx, cancel := context.WithCancelCause(base)
		defer cancel(nil)
		before := g.status()
		outcome, _ := g.start(ctx, g.exchange(draft, size), ended)
		gomega.Eventually(g.clock.PendingTimers).Should(gomega.Equal(1))
		if c.end != nil {
			c.end(cancel)
		}
		var err error
		gomega.Eventually(outcome).Should(gomega.Receive(&err))
		gomega.Expect(outcomeOf(err)).To(gomega.Equal(c.want))
		gomega.Expect(g.waiting()).To(gomega.BeZero())
		gomega.Expect(g.status().InFlight()).To(gomega.BeZero())
		gomega.Expect(g.status().Balance()).To(gomega.Equal(before.Balance()))
	})
})

var _ = ginkgo.Describe("estimates of capacity", func() {
	// Guards against estimates that are made without a reason or too often, which would take processor time from requests, and
	// against a notification that is lost while one is made.
	ginkgo.It("are made after a notification, at most one in each interval", func() {
		g := newAdmissionRig(4, priorityRoute("urgent", 0, time.Second), priorityRoute("draft", 2, time.Second))
		g.router.RecordShared("x", 1, time.Millisecond)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- g.estimates.Run(ctx) }()
		madeAt := func() time.Time { return g.filter.Service("llm").EstimatedAt() }
		gomega.Consistently(madeAt, "20ms").Should(gomega.BeZero())
		g.estimates.Notify()
		gomega.Eventually(madeAt).Should(gomega.Equal(now))
		gomega.Eventually(g.clock.PendingTimers).Should(gomega.Equal(1))
		g.clock.Advance(EstimateInterval / 2)
		g.estimates.Notify()
		g.estimates.Notify()
		gomega.Consistently(madeAt, "20ms").Should(gomega.Equal(now))
		g.clock.Advance(EstimateInterval / 2)
		gomega.Eventually(madeAt).Should(gomega.Equal(now.Add(EstimateInterval)))
		cancel()
		gomega.Eventually(done).Should(gomega.Receive(gomega.MatchError(context.Canceled)))
	})
})
