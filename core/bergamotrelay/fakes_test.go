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
)

// reply is what a runner does with one attempt.
type reply struct {
	failure *Failure      // instead of an answer
	status  int           // 200 when it is 0
	body    string        // of a plain answer
	events  int           // events of a stream, counted from the position of the attempt
	broken  bool          // the stream breaks off after its events
	hangs   bool          // nothing comes until the attempt is cancelled
	delay   chan struct{} // the answer comes when it is closed
}

// upstream gives the scripted replies in the order of the attempts.
type upstream struct {
	mu       sync.Mutex
	replies  []reply
	attempts []Attempt
}

func (u *upstream) Open(ctx context.Context, a Attempt) (Answer, error) {
	u.mu.Lock()
	r := u.replies[min(len(u.attempts), len(u.replies)-1)]
	u.attempts = append(u.attempts, a)
	u.mu.Unlock()
	if r.delay != nil {
		select {
		case <-r.delay:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if r.hangs {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if r.failure != nil {
		return nil, r.failure
	}
	return &scripted{reply: r, next: a.Position() + 1, left: r.events}, nil
}

func (u *upstream) runners() (out []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, a := range u.attempts {
		out = append(out, a.Runner())
	}
	return out
}

// scripted is the answer of a scripted reply.
type scripted struct {
	reply reply
	next  int
	left  int
}

func (a *scripted) Status() int {
	if a.reply.status == 0 {
		return 200
	}
	return a.reply.status
}
func (a *scripted) Fields() Fields        { return Fields{"Stamp": {"s"}} }
func (a *scripted) Body() ([]byte, error) { return []byte(a.reply.body), nil }
func (a *scripted) Close()                {}

func (a *scripted) Next() ([]byte, int, error) {
	if a.left > 0 {
		a.left--
		a.next++
		return fmt.Appendf(nil, "%d ", a.next-1), a.next - 1, nil
	}
	if a.reply.broken {
		return nil, -1, NewFailure(bergamotrequest.RunYes, bergamotrequest.ReasonTarget, errors.New("broken off"))
	}
	return nil, -1, io.EOF
}

// caller records what it gets.
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

func (c *caller) Start(status int, _ Fields) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	c.status = status
	return nil
}

func (c *caller) Events(data []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.text += string(data)
	return nil
}

// budget allows a number of retries.
type budget struct {
	left   int
	urgent float64 // retries of a full budget, of which a part is only for urgent ones
}

func (b *budget) First(string) {}

func (b *budget) Take(string) bool {
	b.left--
	return b.left >= 0
}

func (b *budget) TakePart(service string, part float64) bool {
	return float64(b.left) > b.urgent*(1-part) && b.Take(service)
}

// watchers hears of failed runners.
type watchers struct {
	mu     sync.Mutex
	failed []string
}

func (o *watchers) Failed(runner, _ string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failed = append(o.failed, runner)
}

// steps is a clock on which each wait passes at once.
type steps struct{ *bergamotclock.Virtual }

func (c steps) After(d time.Duration) <-chan time.Time {
	t := c.Virtual.After(d)
	c.Advance(d)
	return t
}

// fixedView always gives the same control state.
type fixedView struct{ view *bergamotcluster.View }

func (v fixedView) View() *bergamotcluster.View { return v.view }

// silent never gives a report.
type silent struct{}

func (silent) Report(context.Context, string) (bergamotcluster.Report, error) {
	return bergamotcluster.Report{}, errors.New("silent")
}

// age is a fixed age of the configuration.
type age time.Duration

func (a age) Age(*Exchange) time.Duration { return time.Duration(a) }

var (
	now    = time.Unix(1000, 0)
	engine = bergamotconfig.NewEngine(bergamotconfig.EngineSpec{
		Model: "m", Layers: 8, LayerMB: 1, TokenKB: 1, Step: time.Millisecond, PromptLen: 10, AnswerLen: 10,
		Kinds: []bergamotconfig.Kind{bergamotconfig.NewKind("l4", 1000, 1)},
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

func route(s bergamotconfig.RouteSpec) bergamotconfig.Route {
	s.Name, s.Objective = "r", 100*time.Millisecond
	return bergamotconfig.NewRoute(s)
}

// rig is an exchange with everything around it.
type rig struct {
	x        *Exchange
	caller   *caller
	upstream *upstream
	budget   *budget
	watchers *watchers
	clock    *bergamotclock.Virtual
	router   *bergamotpath.Router
	views    fixedView
}

func newRig(r bergamotconfig.Route, service bergamotconfig.Service, replies ...reply) *rig {
	clock := bergamotclock.NewVirtual(now)
	fleet := bergamotfleet.NewFleet([]bergamotfleet.Instance{instance("x", service.Name()), instance("y", service.Name()), instance("z", service.Name())})
	g := &rig{
		caller: &caller{}, upstream: &upstream{replies: replies}, budget: &budget{left: 10}, watchers: &watchers{}, clock: clock,
		router: &bergamotpath.Router{Clock: clock, Random: rand.New(rand.NewPCG(1, 2)), Centre: "a"},
		views:  fixedView{bergamotcluster.NewView(nil, 0, fleet)},
	}
	g.x = NewExchange(NewRequest(RequestSpec{ID: "1", Position: -1, Prompt: 10, Answer: 10, Arrived: now}), g.views.view, g.caller)
	g.x.SetRoute(r, service)
	g.x.SetDeadline(now.Add(20 * time.Second))
	return g
}

func (g *rig) stream(ctx context.Context) error {
	h := &Stream{
		Clock: steps{g.clock}, Upstream: g.upstream, Router: g.router, Views: g.views, Budget: g.budget, Observer: g.watchers,
		Watch: &Watch{Clock: g.clock, Reporter: silent{}, Avoided: func(string) bool { return false }},
	}
	return h.Handle(ctx, g.x)
}

func (g *rig) call(ctx context.Context) error {
	h := &Call{
		Clock: g.clock, Upstream: g.upstream, Views: g.views, Budget: g.budget, Observer: g.watchers, Centre: "a", Avoid: g.router,
	}
	return h.Handle(ctx, g.x)
}

// outcomeOf names the outcome of a handler: "answered", or the reason and whether the request was run.
func outcomeOf(err error) string {
	if err == nil {
		return "answered"
	}
	r := bergamotrequest.AsRefusal(err)
	return fmt.Sprintf("%s %s", r.Reason(), r.Run())
}

func rejected() *Failure {
	return NewFailure(bergamotrequest.RunNo, bergamotrequest.ReasonFull, errors.New("status 503"))
}

func reset() *Failure {
	return NewFailure(bergamotrequest.RunUnknown, bergamotrequest.ReasonTarget, errors.New("reset"))
}
