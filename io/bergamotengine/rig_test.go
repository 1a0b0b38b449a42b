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
	rigLayers = 12
	rigTokens = 30
)

// slowLink makes every import slower than recomputing.
var slowLink = bergamotsession.NewEstimate(1, time.Hour, time.Nanosecond)

var rigBundle = bergamottest.Bundle(bergamottest.MinimalBundle + `[model care]
version = 1
layers = 12
width = 8192
[pipeline advice]
model = care
limit = 500
`)

// rig is a session with fake engines, three stages with as many replicas as asked for.
type rig struct {
	bergamottest.FreeRetries // the budgets have tests of their own
	engines                  map[string]*bergamotfake.Engine
	fleet                    atomic.Pointer[bergamotcontrol.View]
	client                   *bergamotengine.Client
	metrics                  *bergamotmetric.Registry
	suspects                 *bergamotsuspect.Ledger
	session                  *bergamotsession.Session
	release                  chan struct{} // closed at the end
	retried                  chan struct{} // closed at the first retry
	once                     sync.Once

	mu      sync.Mutex
	leaving []string
	refused []string
}

func newRig(replicas int) *rig {
	r := &rig{
		engines: map[string]*bergamotfake.Engine{}, client: bergamotengine.NewClient(),
		metrics: bergamotmetric.NewRegistry(), suspects: bergamotsuspect.NewLedger(bergamotclock.Real{}),
		release: make(chan struct{}), retried: make(chan struct{}),
	}
	for n := range replicas {
		for s, stage := range []string{"a", "b", "c"} {
			e := bergamotfake.NewEngine(holding(s))
			e.Beat = 20 * time.Millisecond
			if err := e.Start("127.0.0.1:0"); err != nil {
				panic(err)
			}
			r.engines[fmt.Sprintf("%s%02d", stage, n)] = e
		}
	}
	r.publish()
	r.session = r.newSession(r.suspects)
	return r
}

func holding(stage int) bergamotengine.HoldingMessage {
	return bergamotengine.HoldingMessage{Model: "care", Version: "1", From: 4 * stage, To: 4*stage + 4}
}

// newSession returns the session of one entry with records of its own.
func (r *rig) newSession(l *bergamotsuspect.Ledger) *bergamotsession.Session {
	return &bergamotsession.Session{
		Engine: r.client, Router: bergamotroute.NewRouter(bergamotclock.Real{}, rand.New(rand.NewPCG(1, 2)), ""), Views: r, Versions: &bergamotplacement.Versions{}, Observer: r, Suspects: l,
		Isolation: bergamotsuspect.NewIsolation(), Retries: r, Counter: r, Clock: bergamotclock.Real{},
		// Recomputing is made dear, so that imports are used wherever they are possible.
		Estimate: bergamotsession.NewEstimate(1e12, 0, time.Second),
		Silence:  400 * time.Millisecond, First: 2 * time.Second, Stall: time.Second, Reconnects: 2, Attempts: 8,
	}
}

// publish makes a view from the engines; they are listed with the layers of their stage.
func (r *rig) publish() {
	var list []bergamotfleet.Instance
	for name, e := range r.engines {
		from := 4 * int(name[0]-'a')
		list = append(list, bergamotfleet.NewInstance(bergamotfleet.Spec{
			Name: name, Address: e.Address(), Role: bergamotfleet.RoleRunner,
			Holdings: []bergamotfleet.Holding{bergamotfleet.NewHolding("care", "1", from, from+4)},
		}))
	}
	r.fleet.Store(bergamotcontrol.NewView(time.Time{}, rigBundle, bergamotfleet.NewFleet(list)))
}

// limit publishes a view with only some of the instances.
func (r *rig) limit(names ...string) {
	var list []bergamotfleet.Instance
	for _, name := range names {
		i, _ := r.View().Fleet().Instance(name)
		list = append(list, i)
	}
	r.fleet.Store(bergamotcontrol.NewView(time.Time{}, rigBundle, bergamotfleet.NewFleet(list)))
}

func (r *rig) View() *bergamotcontrol.View { return r.fleet.Load() }

func (r *rig) Count(name string) {
	r.metrics.Count(name)
	if strings.HasPrefix(name, "retry.") {
		r.once.Do(func() { close(r.retried) })
	}
}

func (r *rig) Refused(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused = append(r.refused, name)
}

func (r *rig) Leaving(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = append(r.leaving, name)
}

// ask sends a request through the quarantine filter of an entry with the given session and records.
func (r *rig) ask(s *bergamotsession.Session, l *bergamotsuspect.Ledger, id, prompt string) (text string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	req, err := bergamotrequest.New(bergamotrequest.Spec{ID: id, Model: "advice", Prompt: prompt, MaxTokens: rigTokens, Seed: 7})
	if err != nil {
		return "", err
	}
	out := &sink{}
	x := bergamotchain.NewExchange(req, r.View(), out)
	p, _ := rigBundle.Pipeline("advice")
	x.SetPipeline(p)
	err = bergamotchain.NewChain(s, &bergamotfilter.Quarantine{Suspects: l}).Handle(ctx, x)
	return out.text.String(), errors.Join(err, out.err)
}

// check returns an error unless the answer is the whole answer of a single machine.
func (r *rig) check(id, prompt string) error {
	text, err := r.ask(r.session, r.suspects, id, prompt)
	if err != nil {
		return fmt.Errorf("%s ended after %q: %w", id, text, err)
	}
	if want := bergamotfake.Reference(prompt, 7, rigLayers, rigTokens); text != want {
		return fmt.Errorf("%s got %q instead of %q", id, text, want)
	}
	return nil
}

// ran tells whether a journal of an engine has an entry of the session.
func (r *rig) ran(session string) bool {
	for _, e := range r.engines {
		for _, line := range e.Journal() {
			if line.Session == session {
				return true
			}
		}
	}
	return false
}

func (r *rig) close() {
	close(r.release)
	r.session.Wait()
	for _, e := range r.engines {
		e.Kill()
	}
	r.client.Close()
}

// sink collects an answer and notes a token out of order.
type sink struct {
	bergamottest.DiscardSink
	text strings.Builder
	next int
	err  error
}

func (s *sink) Token(_ context.Context, t bergamotrequest.Token) error {
	if t.Position() != s.next {
		s.err = fmt.Errorf("token %d delivered at %d", t.Position(), s.next)
	}
	s.next++
	s.text.WriteString(t.Text())
	return nil
}
