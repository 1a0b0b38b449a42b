package bergamotfake

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"bergamotspur/core/bergamotsession"
	"bergamotspur/io/bergamotengine"
	"bergamotspur/io/bergamotwire"
)

// Engine is a fake model engine that holds ranges of layers and batches continuously.
type Engine struct {
	Faults   Faults
	StepTime time.Duration // time of one batch
	SlotTime time.Duration // time that each further sequence adds to a batch
	Beat     time.Duration // time between two heartbeats on an idle stream
	Fenced   bool          // rejects orders with an old fencing number; otherwise the number is ignored
	LoadTime time.Duration // time to load one layer

	mu       sync.Mutex
	holdings []bergamotengine.HoldingMessage
	leaving  bool
	number   int64   // highest fencing number of an order
	orders   []int64 // fencing numbers of the orders carried out
	spans    map[key]*span
	queue    []StepMessage
	busy     bool
	journal  []Entry
	imports  int
	batch    time.Time // when the running batch began, zero while idle
	hook     Hook
	frozen   chan struct{}
	wire     *bergamotwire.Client
	server   *Server
	cache    cache
}

// Entry is one line of an engine's journal: layers that it ran for a position of a session.
type Entry struct {
	Session  string
	Attempt  int
	Position int
	From     int
	To       int
}

// NewEngine returns an engine that holds the given layers.
func NewEngine(holdings ...bergamotengine.HoldingMessage) *Engine {
	return &Engine{holdings: holdings, spans: map[key]*span{}, frozen: make(chan struct{}), Beat: 200 * time.Millisecond, wire: bergamotwire.NewClient()}
}

// Start serves the engine on address.
func (e *Engine) Start(address string) (err error) {
	e.server, err = Listen(address, e.Faults.Wrap(e.handler()))
	return err
}

// Address returns host and port.
func (e *Engine) Address() string { return e.server.Address() }

// Kill ends the engine at once.
func (e *Engine) Kill() { e.server.Kill() }

// Run serves until ctx ends.
func (e *Engine) Run(ctx context.Context) error { return e.server.Run(ctx) }

// Orders returns the fencing numbers of the orders that the engine carried out.
func (e *Engine) Orders() []int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// Holdings returns what the engine holds.
func (e *Engine) Holdings() []bergamotengine.HoldingMessage {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.holdings)
}

// Leave makes the engine refuse new spans and report that it is leaving.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// Journal returns a copy of what the engine ran.
func (e *Engine) Journal() []Entry {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Entry(nil), e.journal...)
}

// enqueue adds a step to the next batch and starts the worker when it is idle.
func (e *Engine) enqueue(m StepMessage) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.spans[key{m.Session, m.Attempt}]; !ok {
		return false
	}
	e.queue = append(e.queue, m)
	if !e.busy {
		e.busy = true
		go e.work()
	}
	return true
}

// work runs batches until the queue is empty.
func (e *Engine) work() {
	for {
		batch := e.take()
		if len(batch) == 0 {
			return
		}
		if d := e.StepTime + time.Duration(len(batch)-1)*e.SlotTime; d > 0 {
			<-time.After(d)
		}
		for _, m := range batch {
			action := e.ask(m)
			if action == ActionDie {
				e.Kill()
				return
			}
			if send := e.step(m, action); send != nil && action != ActionLose {
				go send()
			}
		}
	}
}

func (e *Engine) take() []StepMessage {
	e.mu.Lock()
	defer e.mu.Unlock()
	batch := e.queue
	e.queue = nil
	e.busy = len(batch) > 0
	e.batch = time.Time{}
	if e.busy {
		e.batch = time.Now()
	}
	return batch
}

// step runs the layers and returns what sends the result on, nil when there is nothing to send.
func (e *Engine) step(m StepMessage, action Action) func() {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.spans[key{m.Session, m.Attempt}]
	if !ok {
		return nil
	}
	if !s.ready(m) {
		fail := bergamotengine.TokenMessage{Failure: "KV cache has a gap", Target: e.Address(), Session: m.Session, Attempt: m.Attempt}
		return func() { e.report(s, fail) }
	}
	e.journal = append(e.journal, Entry{m.Session, m.Attempt, m.Position, s.message.From, s.message.To})
	m = s.run(m)
	if action == ActionTwice {
		again := m
		again.Receipts = m.Receipts[:len(m.Receipts)-1]
		again.Digest = bergamotsession.FirstDigest(m.Session, m.Attempt, m.Position)
		e.journal = append(e.journal, Entry{m.Session, m.Attempt, m.Position, s.message.From, s.message.To})
		m = s.run(again)
	}
	if action == ActionCross {
		m.Session += "-other"
	}
	if s.message.NextStageAddress != "" {
		return func() { e.forward(s, s.message.NextStageAddress, "/span/step", m) }
	}
	t := s.emit(m)
	if action == ActionRepeat {
		s.tokens = append(s.tokens, t)
	}
	if t.Last {
		return nil
	}
	next := NextMessage{Session: m.Session, Attempt: m.Attempt, Position: t.Position + 1, Token: t.Token}
	return func() { e.forward(s, s.message.FirstStageAddress, "/span/next", next) }
}

// forward sends a message to another stage; a failure is reported to the last stage, which tells the entry.
func (e *Engine) forward(s *span, address, path string, m any) {
	ctx, cancel := context.WithTimeout(context.Background(), forwardTimeout)
	defer cancel()
	err := e.wire.Post(ctx, address, path, m, nil)
	if err == nil {
		return
	}
	e.report(s, bergamotengine.TokenMessage{Failure: err.Error(), Target: address, Session: s.message.Session, Attempt: s.message.Attempt})
}

// report tells the last stage about a failure.
func (e *Engine) report(s *span, fail bergamotengine.TokenMessage) {
	ctx, cancel := context.WithTimeout(context.Background(), forwardTimeout)
	defer cancel()
	if s.message.NextStageAddress == "" {
		e.fail(fail)
		return
	}
	// When the last stage cannot be reached either, its stream to the entry breaks.
	_ = e.wire.Post(ctx, s.message.LastStageAddress, "/span/fail", fail, nil)
}

const forwardTimeout = 2 * time.Second

func (e *Engine) fail(m bergamotengine.TokenMessage) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s, ok := e.spans[key{m.Session, m.Attempt}]; ok {
		s.fail = &m
		s.notify()
	}
}

// start embeds the prompt and the delivered tokens as the first step.
func (e *Engine) start(m bergamotengine.StartMessage) int {
	e.mu.Lock()
	s, ok := e.spans[key{m.Session, m.Attempt}]
	if !ok {
		e.mu.Unlock()
		return http.StatusNotFound
	}
	if s.started {
		// A repeated command takes effect once.
		e.mu.Unlock()
		return http.StatusOK
	}
	s.started, s.seed, s.limit = true, m.Seed, m.Limit
	position := s.message.Start
	e.mu.Unlock()
	e.cache.add(s.message.Model, m.Prompt)
	step := StepMessage{
		Session: m.Session, Attempt: m.Attempt, Position: position, Limit: m.Limit,
		Digest: bergamotsession.FirstDigest(m.Session, m.Attempt, position),
	}
	for _, token := range append(promptTokens(m.Prompt), m.Tokens...) {
		step.Hidden = append(step.Hidden, embed(m.Seed, token))
	}
	if !e.enqueue(step) {
		return http.StatusNotFound
	}
	return http.StatusOK
}

// next embeds a generated token as the next step.
func (e *Engine) next(m NextMessage) int {
	e.mu.Lock()
	s, ok := e.spans[key{m.Session, m.Attempt}]
	if !ok {
		e.mu.Unlock()
		return http.StatusNotFound
	}
	offset := s.inputs
	e.mu.Unlock()
	ok = e.enqueue(StepMessage{
		Session: m.Session, Attempt: m.Attempt, Position: m.Position, Limit: s.limit, Offset: offset,
		Hidden: []uint64{embed(s.seed, m.Token)},
		Digest: bergamotsession.FirstDigest(m.Session, m.Attempt, m.Position),
	})
	if !ok {
		return http.StatusNotFound
	}
	return http.StatusOK
}
