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

// An Engine is a fake model engine that holds ranges of layers and runs them with continuous batching.
type Engine struct {
	Faults            Faults
	StepTime          time.Duration // time of a batch of one sequence
	SlotTime          time.Duration // time that each additional sequence adds to a batch
	HeartbeatInterval time.Duration // interval of heartbeats on an idle stream
	Fenced            bool          // rejects orders with an outdated fencing token; otherwise tokens are not checked
	LoadTime          time.Duration // time to load one layer

	mu              sync.Mutex
	holdings        []bergamotengine.HoldingMessage
	leaving         bool
	maxFencingToken int64   // highest fencing token of the orders so far
	fencingTokens   []int64 // fencing tokens of the accepted orders
	spans           map[spanKey]*span
	queue           []StepMessage
	busy            bool         // the worker runs
	journal         []StepRecord // all steps run, oldest first
	imports         int          // accepted imports of state
	batchStart      time.Time    // start of the running batch, zero while idle
	hook            Hook
	frozen          chan struct{} // closed by FreezeStreams and replaced for later streams
	client          *bergamotwire.Client
	server          *Server
	cache           cache
}

// A StepRecord is an item of an engine's journal: the layers that it ran for a position of a session.
type StepRecord struct {
	Session  string
	Attempt  int
	Position int
	From     int
	To       int
}

// NewEngine returns an engine that holds the given layers.
func NewEngine(holdings ...bergamotengine.HoldingMessage) *Engine {
	return &Engine{holdings: holdings, spans: map[spanKey]*span{}, frozen: make(chan struct{}), HeartbeatInterval: 200 * time.Millisecond, client: bergamotwire.NewClient()}
}

// Start listens on address and serves in the background.
func (e *Engine) Start(address string) (err error) {
	e.server, err = Listen(address, e.Faults.Wrap(e.handler()))
	return err
}

// Address returns the host and port of the engine.
func (e *Engine) Address() string { return e.server.Address() }

// Kill closes the engine's port and all of its connections at once.
func (e *Engine) Kill() { e.server.Kill() }

// Run blocks until ctx ends and then kills the engine, or until serving fails.
func (e *Engine) Run(ctx context.Context) error { return e.server.Run(ctx) }

// FencingTokens returns the fencing tokens of the accepted orders in the order of arrival.
func (e *Engine) FencingTokens() []int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.fencingTokens)
}

// Holdings returns the ranges of layers that the engine holds.
func (e *Engine) Holdings() []bergamotengine.HoldingMessage {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.holdings)
}

// Leave makes the engine refuse new spans and show in its load that it is leaving.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// Journal returns a copy of the records of all steps that the engine ran.
func (e *Engine) Journal() []StepRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]StepRecord(nil), e.journal...)
}

// enqueue adds a step to the next batch, starts the worker when it is idle, and reports whether the span is open.
func (e *Engine) enqueue(m StepMessage) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.spans[spanKey{m.Session, m.Attempt}]; !ok {
		return false
	}
	e.queue = append(e.queue, m)
	if !e.busy {
		e.busy = true
		go e.runBatches()
	}
	return true
}

// runBatches runs batches until the queue is empty.
func (e *Engine) runBatches() {
	for {
		batch := e.takeBatch()
		if len(batch) == 0 {
			return
		}
		if d := e.StepTime + time.Duration(len(batch)-1)*e.SlotTime; d > 0 {
			<-time.After(d)
		}
		for _, m := range batch {
			action := e.actionFor(m)
			if action == ActionCrash {
				e.Kill()
				return
			}
			if send := e.runStep(m, action); send != nil && action != ActionDropResult {
				go send()
			}
		}
	}
}

// takeBatch takes the whole queue as the next batch; an empty batch leaves the worker idle.
func (e *Engine) takeBatch() []StepMessage {
	e.mu.Lock()
	defer e.mu.Unlock()
	batch := e.queue
	e.queue = nil
	e.busy = len(batch) > 0
	e.batchStart = time.Time{}
	if e.busy {
		e.batchStart = time.Now()
	}
	return batch
}

// runStep runs the layers of a step and returns a function that sends the result on, or nil if there is nothing to
// send.
func (e *Engine) runStep(m StepMessage, action Action) func() {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.spans[spanKey{m.Session, m.Attempt}]
	if !ok {
		return nil
	}
	if !s.canRun(m) {
		fail := bergamotengine.TokenMessage{Failure: "KV cache has a gap", Target: e.Address(), Session: m.Session, Attempt: m.Attempt}
		return func() { e.reportFailure(s, fail) }
	}
	e.journal = append(e.journal, StepRecord{m.Session, m.Attempt, m.Position, s.message.From, s.message.To})
	m = s.run(m)
	if action == ActionRunTwice {
		again := m
		again.Receipts = m.Receipts[:len(m.Receipts)-1]
		again.Digest = bergamotsession.FirstDigest(m.Session, m.Attempt, m.Position)
		e.journal = append(e.journal, StepRecord{m.Session, m.Attempt, m.Position, s.message.From, s.message.To})
		m = s.run(again)
	}
	if action == ActionWrongSession {
		m.Session += "-other"
	}
	if s.message.NextStageAddress != "" {
		return func() { e.forward(s, s.message.NextStageAddress, "/span/step", m) }
	}
	t := s.emit(m)
	if action == ActionRepeatToken {
		s.tokens = append(s.tokens, t)
	}
	if t.Last {
		return nil
	}
	next := NextMessage{Session: m.Session, Attempt: m.Attempt, Position: t.Position + 1, Token: t.Token}
	return func() { e.forward(s, s.message.FirstStageAddress, "/span/next", next) }
}

// forward sends a message to another stage and reports a failure to the last stage, which passes it to the entry.
func (e *Engine) forward(s *span, address, path string, m any) {
	ctx, cancel := context.WithTimeout(context.Background(), forwardTimeout)
	defer cancel()
	err := e.client.Post(ctx, address, path, m, nil)
	if err == nil {
		return
	}
	e.reportFailure(s, bergamotengine.TokenMessage{Failure: err.Error(), Target: address, Session: s.message.Session, Attempt: s.message.Attempt})
}

// reportFailure sends a failure to the last stage of the path.
func (e *Engine) reportFailure(s *span, fail bergamotengine.TokenMessage) {
	ctx, cancel := context.WithTimeout(context.Background(), forwardTimeout)
	defer cancel()
	if s.message.NextStageAddress == "" {
		e.fail(fail)
		return
	}
	// When the last stage cannot be reached either, its stream to the entry breaks.
	_ = e.client.Post(ctx, s.message.LastStageAddress, "/span/fail", fail, nil)
}

// forwardTimeout bounds each call between stages.
const forwardTimeout = 2 * time.Second

// fail records the failure of a span and wakes its streams.
func (e *Engine) fail(m bergamotengine.TokenMessage) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s, ok := e.spans[spanKey{m.Session, m.Attempt}]; ok {
		s.fail = &m
		s.notify()
	}
}

// startSpan enqueues the prompt and the tokens that were delivered already as the first step, and returns the HTTP
// status.
func (e *Engine) startSpan(m bergamotengine.StartMessage) int {
	e.mu.Lock()
	s, ok := e.spans[spanKey{m.Session, m.Attempt}]
	if !ok {
		e.mu.Unlock()
		return http.StatusNotFound
	}
	if s.started {
		// Commands are idempotent.
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

// continueSpan enqueues a generated token as the next step and returns the HTTP status.
func (e *Engine) continueSpan(m NextMessage) int {
	e.mu.Lock()
	s, ok := e.spans[spanKey{m.Session, m.Attempt}]
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
