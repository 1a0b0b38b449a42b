package bergamotrelay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotcluster"
	"bergamotspur/core/bergamotconfig"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotpath"
	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamotsuspect"
)

// reply scripts how a runner responds to one attempt.
type reply struct {
	failure *Failure      // returned instead of a response
	status  int           // 0 means 200
	body    string        // body of a response that is not a stream
	whole   bool          // the response is not a stream whatever its status
	events  int           // number of events in a stream, numbered from the position at which the attempt resumes
	broken  bool          // the stream breaks off after its events
	again   bool          // the events are numbered from 0 wherever the attempt resumes
	hangs   bool          // no response until the attempt is cancelled
	unsent  bool          // it hangs before anything is sent
	delay   chan struct{} // the response is held back until the channel is closed
	pause   chan struct{} // the stream pauses after its events until the channel is closed, and goes on with rest more
	rest    int
}

// upstream returns the scripted replies in the order of the attempts and repeats the last one.
type upstream struct {
	mu       sync.Mutex
	replies  []reply
	attempts []Attempt
	helper   string // the entry over which the attempts go, empty for none
}

func (u *upstream) Send(ctx context.Context, a Attempt) (Response, error) {
	u.mu.Lock()
	r := u.replies[min(len(u.attempts), len(u.replies)-1)]
	u.attempts = append(u.attempts, a)
	u.mu.Unlock()
	if u.helper != "" {
		a.Detoured(u.helper)
	}
	if r.delay != nil {
		select {
		case <-r.delay:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if r.hangs || r.unsent {
		<-ctx.Done()
		if r.unsent {
			return nil, NewFailure(bergamotrequest.RunNo, bergamotrequest.ReasonTarget, ctx.Err())
		}
		return nil, ctx.Err()
	}
	if r.failure != nil {
		return nil, r.failure
	}
	next := a.ResumeAfter() + 1
	if r.again {
		next = 0
	}
	return &fakeResponse{ctx: ctx, reply: r, next: next, left: r.events}, nil
}

func (u *upstream) runners() (out []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, a := range u.attempts {
		out = append(out, a.Runner())
	}
	return out
}

// fakeResponse is the response that a reply describes.
type fakeResponse struct {
	ctx   context.Context // of the request
	reply reply
	next  int
	left  int
}

func (f *fakeResponse) Status() int {
	if f.reply.status == 0 {
		return 200
	}
	return f.reply.status
}
func (f *fakeResponse) IsEventStream() bool   { return !f.reply.whole }
func (f *fakeResponse) Fields() Fields        { return Fields{"Stamp": {"s"}} }
func (f *fakeResponse) Body() ([]byte, error) { return []byte(f.reply.body), nil }
func (f *fakeResponse) Close()                {}

func (f *fakeResponse) Next() ([]byte, int, error) {
	if f.left > 0 {
		f.left--
		f.next++
		return fmt.Appendf(nil, "%d ", f.next-1), f.next - 1, nil
	}
	if f.reply.pause != nil {
		select {
		case <-f.reply.pause:
		case <-f.ctx.Done():
			return nil, -1, f.ctx.Err()
		}
		f.reply.pause, f.left = nil, f.reply.rest
		return f.Next()
	}
	if f.reply.broken {
		return nil, -1, NewFailure(bergamotrequest.RunYes, bergamotrequest.ReasonTarget, errors.New("broken off"))
	}
	return nil, -1, io.EOF
}

// caller is a Sink that records the response.
type caller struct {
	mu     sync.Mutex
	starts int
	status int
	text   string
}

func (c *caller) Reply(status int, _ Fields, body []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.status, c.text = status, string(body)
	return nil
}

func (c *caller) StartStream(status int, _ Fields) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	c.status = status
	return nil
}

func (c *caller) WriteEvents(data []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.text += string(data)
	return nil
}

// received returns the events that the caller has.
func (c *caller) received() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.text
}

// budget allows a fixed number of retries.
type budget struct {
	left int
	size float64 // retries of the full budget, to which the share in TakeWithin applies
}

func (b *budget) RecordFirst(string) {}

func (b *budget) Take(string) bool {
	b.left--
	return b.left >= 0
}

func (b *budget) TakeWithin(service string, part float64) bool {
	return float64(b.left) > b.size*(1-part) && b.Take(service)
}

// observer records the failed runners.
type observer struct {
	mu     sync.Mutex
	failed []string
}

func (o *observer) RunnerFailed(runner, _ string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failed = append(o.failed, runner)
}

// instantClock is a clock on which every wait ends at once.
type instantClock struct{ *bergamotclock.Virtual }

func (c instantClock) After(d time.Duration) <-chan time.Time {
	t := c.Virtual.After(d)
	c.Advance(d)
	return t
}

// fixedView always returns the same control state.
type fixedView struct{ view *bergamotcluster.View }

func (v fixedView) View() *bergamotcluster.View { return v.view }

// silentReporter fails every request for a report.
type silentReporter struct{}

func (silentReporter) Report(context.Context, string) (bergamotcluster.Report, error) {
	return bergamotcluster.Report{}, errors.New("silent")
}

// goneReporter answers every request for a report like the machine of a runner whose process has ended.
type goneReporter struct{}

func (goneReporter) Report(context.Context, string) (bergamotcluster.Report, error) {
	return bergamotcluster.Report{}, bergamotcluster.ErrNotListening
}

// age is a fixed age of the configuration.
type age time.Duration

func (a age) Age(*Exchange) time.Duration { return time.Duration(a) }

var (
	now    = time.Unix(1000, 0)
	engine = bergamotconfig.NewEngine(bergamotconfig.EngineSpec{
		Model: "m", Layers: 8, LayerMB: 1, TokenKB: 1, StepTime: time.Millisecond, PromptTokens: 10, AnswerTokens: 10,
		Accelerators: []bergamotconfig.Accelerator{bergamotconfig.NewAccelerator("l4", 1000, 1)},
	})
	model = bergamotconfig.NewService("llm", engine)
	plain = bergamotconfig.NewService("app", nil)
)

func instance(name, role string) bergamotfleet.Instance {
	return bergamotfleet.NewInstance(bergamotfleet.Spec{
		Name: name, Address: name + ":1", DataCentre: "a", Kind: "l4", Role: role, Slots: 6,
		Holdings: []bergamotfleet.Holding{bergamotfleet.NewHolding("m", "1", 0, 8)},
	})
}

// fleetStartedAt returns three model runners whose processes started at a time in Unix milliseconds.
func fleetStartedAt(startTime int64) *bergamotfleet.Fleet {
	var list []bergamotfleet.Instance
	for _, name := range []string{"x", "y", "z"} {
		spec := instance(name, "llm").Spec()
		spec.StartTime = startTime
		list = append(list, bergamotfleet.NewInstance(spec))
	}
	return bergamotfleet.NewFleet(list)
}

func route(s bergamotconfig.RouteSpec) bergamotconfig.Route {
	s.Name, s.TargetLatency = "r", 100*time.Millisecond
	return bergamotconfig.NewRoute(s)
}

// rig is an exchange with fakes for everything that a handler uses.
type rig struct {
	x        *Exchange
	caller   *caller
	upstream *upstream
	budget   *budget
	observer *observer
	clock    *bergamotclock.Virtual
	router   *bergamotpath.Router
	views    fixedView
	ledger   *bergamotsuspect.Ledger
	reporter bergamotcluster.Reporter
	links    fakeLinks
	gate     *LimitGate // nil for none
}

// fakeLinks is what is known of the links of the entry.
type fakeLinks struct {
	silentSince time.Time // zero if connections are not silent
	doubtful    bool
}

func (l fakeLinks) SilentSince() (time.Time, bool) { return l.silentSince, !l.silentSince.IsZero() }

func (l fakeLinks) AreDoubtful() bool { return l.doubtful }

func newRig(r bergamotconfig.Route, service bergamotconfig.Service, replies ...reply) *rig {
	clock := bergamotclock.NewVirtual(now)
	fleet := bergamotfleet.NewFleet([]bergamotfleet.Instance{instance("x", service.Name()), instance("y", service.Name()), instance("z", service.Name())})
	g := &rig{
		caller: &caller{}, upstream: &upstream{replies: replies}, budget: &budget{left: 10}, observer: &observer{}, clock: clock,
		router: &bergamotpath.Router{Clock: clock, Random: rand.New(rand.NewPCG(1, 2)), Centre: "a"},
		views:  fixedView{bergamotcluster.NewView(nil, 0, fleet)},
		ledger: bergamotsuspect.NewLedger(clock), reporter: goneReporter{},
	}
	g.x = NewExchange(NewRequest(RequestSpec{ID: "1", LastEvent: -1, PromptTokens: 10, AnswerTokens: 10, ArrivedAt: now}), g.views.view, g.caller)
	g.x.SetRoute(r, service)
	g.x.SetDeadline(now.Add(20 * time.Second))
	return g
}

func (g *rig) stream(ctx context.Context) error {
	return g.streamHandler(g.upstream, silentReporter{}).Handle(ctx, g.x)
}

func (g *rig) streamHandler(u Upstream, reporter bergamotcluster.Reporter) *StreamHandler {
	d := &StallDetector{Clock: g.clock, Reporter: reporter, IsSuspected: func(string) bool { return false }}
	return &StreamHandler{
		Clock: instantClock{g.clock}, Upstream: u, Runners: g.runners(d), Views: g.views, Budget: g.budget, Quarantine: g.quarantine(), Links: g.links, Gate: g.gate,
		StallDetector: d, EventTimes: g.router,
	}
}

func (g *rig) call(ctx context.Context) error { return g.callHandler().Handle(ctx, g.x) }

func (g *rig) callHandler() *CallHandler {
	return &CallHandler{
		Clock: g.clock, Upstream: g.upstream, Runners: g.runners(&StallDetector{Clock: g.clock, Reporter: silentReporter{}}), Views: g.views, Budget: g.budget,
		Quarantine: g.quarantine(), Gate: g.gate,
	}
}

// runners returns the runners of the service of the exchange.
func (g *rig) runners(d *StallDetector) Runners {
	if g.x.Service().Engine() != nil {
		return &LayeredRunners{Clock: g.clock, Router: g.router, Views: g.views, Reports: d, Observer: g.observer}
	}
	return &PlainRunners{
		Clock: g.clock, Views: g.views, Observer: g.observer, Centre: "a", Avoid: g.router, Exclusions: &bergamotpath.Exclusions{Clock: g.clock}, Limits: g.router.Limits,
	}
}

func (g *rig) quarantine() *Quarantine {
	return &Quarantine{Clock: instantClock{g.clock}, Suspects: g.ledger, Isolation: bergamotsuspect.NewIsolation(), Reporter: g.reporter, AreLinksDoubtful: g.links.AreDoubtful}
}

// outcomeOf describes the error of a handler: "answered" for nil, otherwise the reason of the refusal and whether the
// request was run.
func outcomeOf(err error) string {
	if err == nil {
		return "answered"
	}
	r := bergamotrequest.AsRefusal(err)
	return fmt.Sprintf("%s %s", r.Reason(), r.RunState())
}

func rejected() *Failure {
	return NewFailure(bergamotrequest.RunNo, bergamotrequest.ReasonFull, errors.New("status 503"))
}

// unproven is the failure of an attempt whose answer promises that the request was not run, without proof.
func unproven() *Failure {
	return NewFailure(bergamotrequest.RunUnknown, bergamotrequest.ReasonPromise, errors.New("status 503"))
}

func reset() *Failure {
	return NewFailure(bergamotrequest.RunUnknown, bergamotrequest.ReasonTarget, errors.New("reset"))
}

// handlerFunc is a function used as the handler after a filter.
type handlerFunc func(ctx context.Context, x *Exchange) error

func (f handlerFunc) Handle(ctx context.Context, x *Exchange) error { return f(ctx, x) }
