package bergamotengine_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bergamotspur/core/bergamotchain"
	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotcontrol"
	"bergamotspur/core/bergamotfilter"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotplacement"
	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamotroute"
	"bergamotspur/core/bergamotsession"
	"bergamotspur/core/bergamotsuspect"
	"bergamotspur/core/bergamottest"
	"bergamotspur/io/bergamotengine"
	"bergamotspur/io/bergamotfake"
	"bergamotspur/io/bergamotmetric"
)

const (
	modelLayers  = 12
	answerTokens = 30
)

// slowImportEstimate is an estimate in which every import is slower than recomputing.
var slowImportEstimate = bergamotsession.NewEstimate(1, time.Hour, time.Nanosecond)

var adviceBundle = bergamottest.Bundle(bergamottest.MinimalBundle + `[model care]
version = 1
layers = 12
width = 8192
[pipeline advice]
model = care
limit = 500
`)

// harness runs a session against fake engines, with the same number of replicas for each of three stages.
type harness struct {
	bergamottest.FreeRetries // retry budgets have their own tests
	engines                  map[string]*bergamotfake.Engine
	view                     atomic.Pointer[bergamotcontrol.View]
	client                   *bergamotengine.Client
	metrics                  *bergamotmetric.Registry
	suspects                 *bergamotsuspect.Ledger
	session                  *bergamotsession.Session
	release                  chan struct{} // closed by close, lets hanging steps continue
	retried                  chan struct{} // closed at the first retry
	retryOnce                sync.Once
	delivered                chan struct{} // closed at the first token that a caller gets
	deliverOnce              sync.Once

	mu      sync.Mutex
	leaving []string // instances that replied that they are leaving
	refused []string // instances that refused a connection
}

// newHarness starts the engines a00, b00, c00 of the first replica, a01, b01, c01 of the second, and so on.
func newHarness(replicas int) *harness {
	h := &harness{
		engines: map[string]*bergamotfake.Engine{}, client: bergamotengine.NewClient(),
		metrics: bergamotmetric.NewRegistry(), suspects: bergamotsuspect.NewLedger(bergamotclock.Real{}),
		release: make(chan struct{}), retried: make(chan struct{}), delivered: make(chan struct{}),
	}
	for n := range replicas {
		for index, stage := range []string{"a", "b", "c"} {
			e := bergamotfake.NewEngine(stageHolding(index))
			e.HeartbeatInterval = 20 * time.Millisecond
			if err := e.Start("127.0.0.1:0"); err != nil {
				panic(err)
			}
			h.engines[fmt.Sprintf("%s%02d", stage, n)] = e
		}
	}
	h.publish()
	h.session = h.newSession(h.suspects)
	return h
}

// stageHolding returns the layers of the stage with the given index.
func stageHolding(stage int) bergamotengine.HoldingMessage {
	return bergamotengine.HoldingMessage{Model: "care", Version: "1", From: 4 * stage, To: 4*stage + 4}
}

// newSession returns a session with its own router and the given failure ledger, like that of another entry.
func (h *harness) newSession(l *bergamotsuspect.Ledger) *bergamotsession.Session {
	return &bergamotsession.Session{
		Engine: h.client, Router: bergamotroute.NewRouter(bergamotclock.Real{}, rand.New(rand.NewPCG(1, 2)), ""), Views: h, Versions: &bergamotplacement.Versions{}, Observer: h, Suspects: l,
		Isolation: bergamotsuspect.NewIsolation(), Retries: h, Counter: h, Clock: bergamotclock.Real{},
		// Recomputing is estimated as slow, so that KV cache is imported wherever possible.
		Estimate:       bergamotsession.NewEstimate(1e12, 0, time.Second),
		SilenceTimeout: 400 * time.Millisecond, FirstTokenTimeout: 2 * time.Second, StallTimeout: time.Second, MaxReconnects: 2, MaxAttempts: 8,
	}
}

// publish publishes a view of all engines, each listed with the layers of its stage.
func (h *harness) publish() {
	var list []bergamotfleet.Instance
	for name, e := range h.engines {
		from := 4 * int(name[0]-'a')
		list = append(list, bergamotfleet.NewInstance(bergamotfleet.Spec{
			Name: name, Address: e.Address(), Role: bergamotfleet.RoleRunner,
			Holdings: []bergamotfleet.Holding{bergamotfleet.NewHolding("care", "1", from, from+4)},
		}))
	}
	h.view.Store(bergamotcontrol.NewView(time.Time{}, adviceBundle, bergamotfleet.NewFleet(list)))
}

// publishOnly publishes a view of only the named instances.
func (h *harness) publishOnly(names ...string) {
	var list []bergamotfleet.Instance
	for _, name := range names {
		i, _ := h.View().Fleet().Instance(name)
		list = append(list, i)
	}
	h.view.Store(bergamotcontrol.NewView(time.Time{}, adviceBundle, bergamotfleet.NewFleet(list)))
}

func (h *harness) View() *bergamotcontrol.View { return h.view.Load() }

func (h *harness) Count(name string) {
	h.metrics.Count(name)
	if strings.HasPrefix(name, "retry.") {
		h.retryOnce.Do(func() { close(h.retried) })
	}
}

func (h *harness) Refused(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refused = append(h.refused, name)
}

func (h *harness) Leaving(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaving = append(h.leaving, name)
}

// send sends a request through the quarantine filter and session of an entry and returns the text of the answer.
func (h *harness) send(s *bergamotsession.Session, l *bergamotsuspect.Ledger, id, prompt string) (text string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	req, err := bergamotrequest.New(bergamotrequest.Spec{ID: id, Model: "advice", Prompt: prompt, MaxTokens: answerTokens, Seed: 7})
	if err != nil {
		return "", err
	}
	out := &sink{onToken: func() { h.deliverOnce.Do(func() { close(h.delivered) }) }}
	x := bergamotchain.NewExchange(req, h.View(), out)
	p, _ := adviceBundle.Pipeline("advice")
	x.SetPipeline(p)
	err = bergamotchain.NewChain(s, &bergamotfilter.Quarantine{Suspects: l}).Handle(ctx, x)
	return out.text.String(), errors.Join(err, out.err)
}

// checkAnswer returns an error unless the answer equals that of the whole model on a single machine.
func (h *harness) checkAnswer(id, prompt string) error {
	text, err := h.send(h.session, h.suspects, id, prompt)
	if err != nil {
		return fmt.Errorf("%s ended after %q: %w", id, text, err)
	}
	if want := bergamotfake.Reference(prompt, 7, modelLayers, answerTokens); text != want {
		return fmt.Errorf("%s got %q instead of %q", id, text, want)
	}
	return nil
}

// waitForDelivery waits until a caller has got a token. Hooks of failures in the middle of an answer call it: the engines
// can run many steps, even all of them, before the session has opened its stream.
func (h *harness) waitForDelivery() {
	select {
	case <-h.delivered:
	case <-h.release:
	}
}

// hasRun reports whether the journal of any engine has a line of the session.
func (h *harness) hasRun(session string) bool {
	for _, e := range h.engines {
		for _, line := range e.Journal() {
			if line.Session == session {
				return true
			}
		}
	}
	return false
}

func (h *harness) close() {
	close(h.release)
	h.session.Wait()
	for _, e := range h.engines {
		e.Kill()
	}
	h.client.Close()
}

// sink collects the text of an answer and keeps an error for a token out of order.
type sink struct {
	bergamottest.DiscardSink
	onToken func()
	text    strings.Builder
	next    int
	err     error
}

func (s *sink) Token(_ context.Context, t bergamotrequest.Token) error {
	if t.Position() != s.next {
		s.err = fmt.Errorf("token %d delivered at %d", t.Position(), s.next)
	}
	s.next++
	s.text.WriteString(t.Text())
	s.onToken()
	return nil
}
