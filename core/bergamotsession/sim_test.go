package bergamotsession_test

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"bergamotspur/core/bergamotchain"
	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotcontrol"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotplacement"
	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamotroute"
	"bergamotspur/core/bergamotsession"
	"bergamotspur/core/bergamottest"
)

// simTokens is the number of tokens in an answer.
const simTokens = 40

// faults holds the probability of each fault at one command or token. A repeated token has the position before the
// expected one, and a crossed token belongs to another session.
type faults struct{ kill, lose, stall, delay, repeat, cross float64 }

// script describes one fault of the last stage at a position.
type script struct {
	position int
	freeze   bool // one connection goes silent
	mute     bool // every connection to the instance goes silent
	hang     bool // the instance sends heartbeats and no token
}

// simEngine is an engine in memory. Its model computes each token from all tokens before it, so that an attempt that
// does not continue exactly what the caller has received produces another answer.
type simEngine struct {
	mu              sync.Mutex
	rng             *rand.Rand
	faults          faults
	dead            map[string]bool
	started         map[string][]int // prefix by session and attempt
	journal         map[string]int   // number of tokens generated for each session
	operations      int              // number of commands and tokens, as a measure of time
	script          script
	scriptedAddress string // address of the instance at which the scripted fault happened
	killAt          int    // position at which the last stage dies once, 0 for never
}

func newSimEngine(seed uint64, f faults) *simEngine {
	return &simEngine{
		rng: rand.New(rand.NewPCG(seed, 1)), faults: f,
		dead: map[string]bool{}, started: map[string][]int{}, journal: map[string]int{},
	}
}

func attemptKey(s bergamotsession.Span) string { return s.Session() + string(rune('0'+s.Attempt())) }

func nextToken(prefix []int) int {
	state := 17
	for _, t := range prefix {
		state = (state*31 + t) % 1000003
	}
	return state % 997
}

// command simulates a command to an instance, which may be dead, lose the command or its reply, or reply late.
func (e *simEngine) command(ctx context.Context, address string, apply func()) error {
	e.mu.Lock()
	e.operations++
	if e.rng.Float64() < e.faults.kill/4 {
		e.dead[address] = true
	}
	dead, lose, loseCommand := e.dead[address], e.rng.Float64() < e.faults.lose, e.rng.Float64() < 0.5
	var latency time.Duration
	if e.rng.Float64() < e.faults.delay {
		latency = time.Duration(e.rng.IntN(1500)) * time.Millisecond
	}
	if !dead && (!lose || !loseCommand) {
		apply()
	}
	e.mu.Unlock()
	if dead {
		return bergamotsession.ErrConnectionRefused
	}
	if lose {
		<-ctx.Done()
		return ctx.Err()
	}
	return sleep(ctx, latency)
}

func sleep(ctx context.Context, d time.Duration) error {
	if d == 0 {
		return nil
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

func (e *simEngine) Open(ctx context.Context, address string, _ bergamotsession.Span) error {
	return e.command(ctx, address, func() {})
}

func (e *simEngine) Import(ctx context.Context, address string, _ bergamotsession.Span, _ bergamotsession.Import) error {
	return e.command(ctx, address, func() {})
}

func (e *simEngine) Start(ctx context.Context, address string, s bergamotsession.Span, p bergamotsession.Prefix) error {
	return e.command(ctx, address, func() { e.started[attemptKey(s)] = append([]int{}, p.Tokens()...) })
}

func (e *simEngine) Progress(ctx context.Context, address string, _ bergamotsession.Span) (bergamotsession.Progress, error) {
	return bergamotsession.Progress{}, e.command(ctx, address, func() {})
}

func (e *simEngine) Cancel(ctx context.Context, address string, _ bergamotsession.Span) error {
	return e.command(ctx, address, func() {})
}

func (e *simEngine) Stream(ctx context.Context, address string, s bergamotsession.Span, position int) (bergamotsession.TokenStream, error) {
	if err := e.command(ctx, address, func() {}); err != nil {
		return nil, err
	}
	return &simStream{engine: e, span: s, address: address, nextPosition: position}, nil
}

// simStream is one connection to the last stage.
type simStream struct {
	engine       *simEngine
	span         bergamotsession.Span
	address      string
	nextPosition int
}

func (s *simStream) Close() error { return nil }

func (s *simStream) Next(ctx context.Context) (step bergamotsession.Step, err error) {
	step, latency, err := s.nextStep()
	if err != nil {
		return step, err
	}
	if latency < 0 {
		<-ctx.Done()
		return step, ctx.Err()
	}
	return step, sleep(ctx, latency)
}

// nextStep returns the next step and the latency after which it arrives, negative for never.
func (s *simStream) nextStep() (step bergamotsession.Step, latency time.Duration, err error) {
	e := s.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	e.operations++
	prefix, ok := e.started[attemptKey(s.span)]
	draw := e.rng.Float64()
	f := e.faults
	if e.script.position > 0 && s.nextPosition == e.script.position && e.scriptedAddress == "" {
		e.scriptedAddress = s.address
		if e.script.freeze {
			return step, -1, nil
		}
	}
	switch {
	case e.script.mute && e.scriptedAddress == s.address:
		return step, -1, nil
	case e.script.hang && e.scriptedAddress == s.address:
		return bergamotsession.NewHeartbeat(), 200 * time.Millisecond, nil
	case e.dead[s.address]:
		return step, 0, io.ErrUnexpectedEOF
	case !ok:
		return bergamotsession.NewHeartbeat(), 200 * time.Millisecond, nil
	case draw < f.kill || e.killAt > 0 && s.nextPosition == e.killAt:
		e.killAt = 0
		e.dead[s.address] = true
		return step, 0, io.ErrUnexpectedEOF
	case draw < f.kill+f.lose:
		return step, -1, nil
	case draw < f.kill+f.lose+f.stall:
		return bergamotsession.NewHeartbeat(), 900 * time.Millisecond, nil
	}
	position, session := s.nextPosition, s.span.Session()
	s.nextPosition++
	if e.rng.Float64() < f.repeat && position > 0 {
		s.nextPosition, position = position, position-1
	}
	tokenOffset := 0
	if e.rng.Float64() < f.cross {
		session, tokenOffset = session+"-other", 1
	}
	e.journal[s.span.Session()]++
	// The tokens are computed from the prefix alone, whatever position the span claims for them.
	tokens := append([]int{}, prefix...)
	for range position - s.span.Start() {
		tokens = append(tokens, nextToken(tokens))
	}
	if e.rng.Float64() < f.delay {
		latency = time.Duration(e.rng.IntN(800)) * time.Millisecond
	}
	return s.stepWithProof(session, position, nextToken(tokens)+tokenOffset), latency, nil
}

func (s *simStream) stepWithProof(session string, position, token int) bergamotsession.Step {
	digest := bergamotsession.FirstDigest(session, s.span.Attempt(), position)
	steps := position - s.span.Start() + 1
	r := bergamotsession.NewReceipt(0, 12, steps)
	digest = bergamotsession.LastDigest(bergamotsession.NextDigest(digest, r), token)
	return bergamotsession.NewStep(
		bergamotrequest.NewToken(position, token, "", false),
		bergamotsession.NewProof(session, s.span.Attempt(), position, []bergamotsession.Receipt{r}, digest),
	)
}

var simBundle = bergamottest.Bundle(bergamottest.MinimalBundle +
	"[model care]\nversion = 1\nlayers = 12\n[pipeline advice]\nmodel = care\nlimit = 500\n")

// fixture provides what a session needs besides its engine; every runner holds all layers.
type fixture struct {
	bergamottest.FreeRetries
	bergamottest.NoCounter
	bergamottest.NoSuspects
	view *bergamotcontrol.View
}

func newFixture(runners int) *fixture {
	var list []bergamotfleet.Instance
	for n := range runners {
		name := "runner" + string(rune('a'+n))
		list = append(list, bergamottest.Runner(name, "care", "1", 0, 12))
	}
	return &fixture{view: bergamotcontrol.NewView(time.Time{}, simBundle, bergamotfleet.NewFleet(list))}
}

func (f *fixture) View() *bergamotcontrol.View                           { return f.view }
func (*fixture) Refused(string)                                          {}
func (*fixture) Leaving(string)                                          {}
func (*fixture) Reserved() map[string]bool                               { return nil }
func (*fixture) Acquire(context.Context, []string, bool) (func(), error) { return func() {}, nil }

func (f *fixture) session(e bergamotsession.Engine) *bergamotsession.Session {
	return &bergamotsession.Session{
		Engine: e, Router: bergamotroute.NewRouter(bergamotclock.Real{}, rand.New(rand.NewPCG(1, 2)), ""), Views: f, Versions: &bergamotplacement.Versions{}, Observer: f, Suspects: f, Isolation: f, Retries: f, Counter: f,
		Clock: bergamotclock.Real{}, Estimate: bergamotsession.DefaultEstimate(), SilenceTimeout: time.Second,
		FirstTokenTimeout: 9 * time.Second, StallTimeout: 3 * time.Second, MaxReconnects: 2, MaxAttempts: 6,
	}
}

// collector is a sink that collects the tokens of an answer.
type collector struct {
	bergamottest.DiscardSink
	received []int
	onToken  func(position int)
}

func (c *collector) Token(_ context.Context, t bergamotrequest.Token) error {
	c.received = append(c.received, t.ID())
	if c.onToken != nil {
		c.onToken(t.Position())
	}
	return nil
}

func newExchange(f *fixture, id string, limit int, out bergamotchain.Sink) *bergamotchain.Exchange {
	r := bergamottest.Request(bergamotrequest.Spec{ID: id, Model: "advice", Prompt: "oil", MaxTokens: limit})
	x := bergamotchain.NewExchange(r, f.view, out)
	p, _ := simBundle.Pipeline("advice")
	x.SetPipeline(p)
	return x
}
