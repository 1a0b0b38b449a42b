package bergamotclaim_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotchain"
	"bergamotspur/core/bergamotclaim"
	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotcontrol"
	"bergamotspur/core/bergamotfilter"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotmemory"
	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamotretry"
	"bergamotspur/core/bergamottest"
)

// model simulates a platform, a service and entries; the test schedules each of their operations.
type model struct {
	clock        *bergamotclock.Virtual
	store        *bergamotmemory.Store
	maxWrites    int // largest number of effective table writes by one process
	bundle       *bergamotbundle.Bundle
	fleet        *bergamotfleet.Fleet
	entries      []*entryModel
	processes    []*process
	journal      []serviceRun // calls that the service ran
	delayedCalls []func()
	calls        []*callModel
	lastID       int
}

// serviceRun is a call in the service's journal.
type serviceRun struct {
	name   string
	id     string
	answer string
}

// entryModel is an entry; a killed one is replaced by a new one with the same name.
type entryModel struct {
	name   string
	killed bool
	claims *bergamotclaim.Claims
	chain  bergamotchain.Handler
}

// callModel is a call with the outcome that the caller got.
type callModel struct {
	id    string
	name  string
	reply *bergamotrequest.Reply
	err   error
	ended bool
}

const modelBundle = bergamottest.MinimalBundle + `[service pickup]
once = book
ask = outcome
[workspace kitchen]
keys = 0000000000000000000000000000000000000000000000000000000000000000
services = *
[workspace bakery]
keys = 1111111111111111111111111111111111111111111111111111111111111111
services = *
`

func newModel() *model {
	m := &model{clock: bergamotclock.NewVirtual(time.Unix(0, 0))}
	m.store = bergamotmemory.NewStore()
	m.store.Hook = pauseAt
	m.store.OnWrite = func(ctx context.Context) {
		if p, ok := ctx.Value(processKey{}).(*process); ok {
			p.writes++
			m.maxWrites = max(m.maxWrites, p.writes)
		}
	}
	b := bergamottest.Bundle(modelBundle)
	m.bundle = b
	m.fleet = bergamotfleet.NewFleet([]bergamotfleet.Instance{
		bergamotfleet.NewInstance(bergamotfleet.Spec{Name: "pickup-1", Address: "1", Role: "pickup"}),
		bergamotfleet.NewInstance(bergamotfleet.Spec{Name: "pickup-2", Address: "2", Role: "pickup"}),
	})
	for _, name := range []string{"a", "b", "c"} {
		m.entries = append(m.entries, m.newEntry(name))
	}
	return m
}

func (m *model) newEntry(name string) *entryModel {
	e := &entryModel{name: name, claims: &bergamotclaim.Claims{
		Table: m.store, Objects: m.store, Clock: m.clock, Counter: bergamottest.NoCounter{}, Timeout: callTimeout, Margin: margin, MaxInlineBytes: 16, MaxQueuedBytes: 50,
		NewAttemptID: func() string { m.lastID++; return fmt.Sprintf("%s-%d", name, m.lastID) },
	}}
	e.claims.Init()
	budget := func() *bergamotretry.Budget {
		return &bergamotretry.Budget{Clock: m.clock, Reserve: 1e9, Window: time.Second, MaxKeys: 10}
	}
	retries := &bergamotretry.Retries{
		Clock: m.clock, Workspaces: budget(), Targets: budget(),
		Backoff: &bergamotretry.Backoff{Rand: func() float64 { return 0 }},
	}
	e.chain = bergamotchain.NewChain(
		&bergamotfilter.CallHandler{Caller: m, Counter: bergamottest.NoCounter{}, Clock: m.clock, Retries: retries},
		bergamotfilter.Resolver{}, &bergamotfilter.Deadline{Clock: m.clock},
		&bergamotfilter.Claim{Claims: e.claims, Asker: m, Clock: m.clock},
	)
	return e
}

// startCall sends a call to an entry.
func (m *model) startCall(e *entryModel, workspace, key string) {
	m.lastID++
	id := fmt.Sprintf("r%d", m.lastID)
	r := bergamottest.Request(bergamotrequest.Spec{
		ID: id, Kind: bergamotrequest.KindService, Service: "pickup", Call: "book", IdempotencyKey: key, Body: []byte(key),
		ArrivedAt: m.clock.Now(), Timeout: callTimeout,
	})
	c := &callModel{id: id, name: workspace + "/" + key}
	m.calls = append(m.calls, c)
	m.processes = append(m.processes, startProcess(e, func(ctx context.Context) {
		x := bergamotchain.NewExchange(r, bergamotcontrol.NewView(m.clock.Now(), m.bundle, m.fleet), c)
		w, _ := m.bundle.Workspace(workspace)
		x.SetWorkspace(w)
		c.err = e.chain.Handle(ctx, x)
		c.ended = true
	}))
}

// Call simulates the service, which runs every call that it receives.
func (m *model) Call(ctx context.Context, _, name string, r *bergamotrequest.Request) (reply bergamotrequest.Reply, err error) {
	f := pauseAt(ctx, "call")
	// Every second answer exceeds MaxInlineBytes.
	body := r.ID() + strings.Repeat(".", len(m.journal)%2*20)
	apply := func() { m.journal = append(m.journal, serviceRun{name: name, id: r.ID(), answer: body}) }
	switch f {
	case faultOK:
		apply()
		return bergamotrequest.NewReply(200, "text/plain", []byte(body)), nil
	case faultReplyLost:
		apply()
	case faultDelayed:
		m.delayedCalls = append(m.delayedCalls, apply)
	case faultRejected:
		return reply, bergamotfilter.ErrNotSent
	}
	return reply, bergamotmemory.ErrNoReply
}

// Ask simulates the service's reply on whether a call has run so far.
func (m *model) Ask(ctx context.Context, _, _, name string) (ran bool, err error) {
	if pauseAt(ctx, "ask") != faultOK {
		return false, bergamotmemory.ErrNoReply
	}
	return m.ran(name), nil
}

func (m *model) ran(name string) bool {
	for _, r := range m.journal {
		if r.name == name {
			return true
		}
	}
	return false
}

// Token returns an error, since service calls stream no tokens.
func (c *callModel) Token(context.Context, bergamotrequest.Token) error {
	return errors.New("no tokens")
}

// Reply stores the answer that the caller got.
func (c *callModel) Reply(_ context.Context, r bergamotrequest.Reply) error {
	c.reply = &r
	return nil
}
