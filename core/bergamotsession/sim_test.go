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

// simTokens is the length of an answer.
const simTokens = 40

// faults are the chances of each failure at one command or token.
type faults struct{ kill, lose, stall, delay, repeat, cross float64 }

// script is one failure of the last stage at a position.
type script struct {
	at     int
	freeze bool // one connection goes silent
	mute   bool // every connection to the instance goes silent
	hang   bool // the instance sends heartbeats and no token
}

// sim is an engine in memory. Its model gives each token from all tokens before it, so that an attempt that
// does not continue exactly what the caller has seen gives another answer.
type sim struct {
	mu      sync.Mutex
	rng     *rand.Rand
	faults  faults
	dead    map[string]bool
	started map[string][]int // prefix by session and attempt
	journal map[string]int   // tokens generated for each session
	ticks   int              // commands and tokens, as a measure of time
	script  script
	broken  string // address at which the script happened
	killAt  int    // position at which the last stage dies once, 0 for never
}

func newSim(seed uint64, f faults) *sim {
	return &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), faults: f,
		dead: map[string]bool{}, started: map[string][]int{}, journal: map[string]int{},
	}
}

func key(s bergamotsession.Span) string { return s.Session() + string(rune('0'+s.Attempt())) }

func following(prefix []int) int {
	state := 17
	for _, t := range prefix {
		state = (state*31 + t) % 1000003
	}
	return state % 997
}

// command does what an instance does with a command: it may have died, lose the reply or answer late.
func (e *sim) command(ctx context.Context, address string, effect func()) error {
	e.mu.Lock()
	e.ticks++
	if e.rng.Float64() < e.faults.kill/4 {
		e.dead[address] = true
	}
	dead, lose, before := e.dead[address], e.rng.Float64() < e.faults.lose, e.rng.Float64() < 0.5
	var late time.Duration
	if e.rng.Float64() < e.faults.delay {
		late = time.Duration(e.rng.IntN(1500)) * time.Millisecond
	}
	if !dead && (!lose || !before) {
		effect()
	}
	e.mu.Unlock()
	if dead {
		return bergamotsession.ErrRefused
	}
	if lose {
		<-ctx.Done()
		return ctx.Err()
	}
	return wait(ctx, late)
}

func wait(ctx context.Context, d time.Duration) error {
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

func (e *sim) Open(ctx context.Context, address string, _ bergamotsession.Span) error {
	return e.command(ctx, address, func() {})
}

func (e *sim) Import(ctx context.Context, address string, _ bergamotsession.Span, _ bergamotsession.Import) error {
	return e.command(ctx, address, func() {})
}

func (e *sim) Start(ctx context.Context, address string, s bergamotsession.Span, p bergamotsession.Prefix) error {
	return e.command(ctx, address, func() { e.started[key(s)] = append([]int{}, p.Tokens()...) })
}

func (e *sim) Progress(ctx context.Context, address string, _ bergamotsession.Span) (bergamotsession.Progress, error) {
	return bergamotsession.Progress{}, e.command(ctx, address, func() {})
}

func (e *sim) Cancel(ctx context.Context, address string, _ bergamotsession.Span) error {
	return e.command(ctx, address, func() {})
}

func (e *sim) Stream(ctx context.Context, address string, s bergamotsession.Span, from int) (bergamotsession.TokenStream, error) {
	if err := e.command(ctx, address, func() {}); err != nil {
		return nil, err
	}
	return &simStream{sim: e, span: s, address: address, next: from}, nil
}

// simStream is one connection to the last stage.
type simStream struct {
	sim     *sim
	span    bergamotsession.Span
	address string
	next    int
}

func (s *simStream) Close() error { return nil }

func (s *simStream) Next(ctx context.Context) (step bergamotsession.Step, err error) {
	step, late, err := s.take()
	if err != nil {
		return step, err
	}
	if late < 0 {
		<-ctx.Done()
		return step, ctx.Err()
	}
	return step, wait(ctx, late)
}

// take returns the next step and how late it comes, negative for never.
func (s *simStream) take() (step bergamotsession.Step, late time.Duration, err error) {
	e := s.sim
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ticks++
	prefix, ok := e.started[key(s.span)]
	chance := e.rng.Float64()
	f := e.faults
	if e.script.at > 0 && s.next == e.script.at && e.broken == "" {
		e.broken = s.address
		if e.script.freeze {
			return step, -1, nil
		}
	}
	switch {
	case e.script.mute && e.broken == s.address:
		return step, -1, nil
	case e.script.hang && e.broken == s.address:
		return bergamotsession.NewBeat(), 200 * time.Millisecond, nil
	case e.dead[s.address]:
		return step, 0, io.ErrUnexpectedEOF
	case !ok:
		return bergamotsession.NewBeat(), 200 * time.Millisecond, nil
	case chance < f.kill || e.killAt > 0 && s.next == e.killAt:
		e.killAt = 0
		e.dead[s.address] = true
		return step, 0, io.ErrUnexpectedEOF
	case chance < f.kill+f.lose:
		return step, -1, nil
	case chance < f.kill+f.lose+f.stall:
		return bergamotsession.NewBeat(), 900 * time.Millisecond, nil
	}
	position, session := s.next, s.span.Session()
	s.next++
	if e.rng.Float64() < f.repeat && position > 0 {
		s.next, position = position, position-1
	}
	foreign := 0
	if e.rng.Float64() < f.cross {
		session, foreign = session+"-other", 1
	}
	e.journal[s.span.Session()]++
	// The tokens follow from the prefix alone, whatever position the span claims for them.
	all := append([]int{}, prefix...)
	for range position - s.span.Start() {
		all = append(all, following(all))
	}
	if e.rng.Float64() < f.delay {
		late = time.Duration(e.rng.IntN(800)) * time.Millisecond
	}
	return s.sealed(session, position, following(all)+foreign), late, nil
}

func (s *simStream) sealed(session string, position, token int) bergamotsession.Step {
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

// world is what a session needs beside its engine; every runner holds all layers.
type world struct {
	bergamottest.FreeRetries
	bergamottest.NoCounter
	bergamottest.NoSuspects
	view *bergamotcontrol.View
}

func newWorld(runners int) *world {
	var list []bergamotfleet.Instance
	for n := range runners {
		name := "runner" + string(rune('a'+n))
		list = append(list, bergamottest.Runner(name, "care", "1", 0, 12))
	}
	return &world{view: bergamotcontrol.NewView(time.Time{}, simBundle, bergamotfleet.NewFleet(list))}
}

func (w *world) View() *bergamotcontrol.View                         { return w.view }
func (*world) Refused(string)                                        {}
func (*world) Leaving(string)                                        {}
func (*world) Held() map[string]bool                                 { return nil }
func (*world) Enter(context.Context, []string, bool) (func(), error) { return func() {}, nil }

func (w *world) session(e bergamotsession.Engine) *bergamotsession.Session {
	return &bergamotsession.Session{
		Engine: e, Router: bergamotroute.NewRouter(bergamotclock.Real{}, rand.New(rand.NewPCG(1, 2)), ""), Views: w, Versions: &bergamotplacement.Versions{}, Observer: w, Suspects: w, Isolation: w, Retries: w, Counter: w,
		Clock: bergamotclock.Real{}, Estimate: bergamotsession.DefaultEstimate(), Silence: time.Second,
		First: 9 * time.Second, Stall: 3 * time.Second, Reconnects: 2, Attempts: 6,
	}
}

// collector is the caller.
type collector struct {
	bergamottest.DiscardSink
	got  []int
	each func(position int)
}

func (c *collector) Token(_ context.Context, t bergamotrequest.Token) error {
	c.got = append(c.got, t.ID())
	if c.each != nil {
		c.each(t.Position())
	}
	return nil
}

func newExchange(w *world, id string, limit int, out bergamotchain.Sink) *bergamotchain.Exchange {
	r := bergamottest.Request(bergamotrequest.Spec{ID: id, Model: "advice", Prompt: "oil", MaxTokens: limit})
	x := bergamotchain.NewExchange(r, w.view, out)
	p, _ := simBundle.Pipeline("advice")
	x.SetPipeline(p)
	return x
}
