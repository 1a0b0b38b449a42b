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

// model is a platform, a service and entries whose every operation is scheduled by the test.
type model struct {
	clock     *bergamotclock.Virtual
	store     *bergamotmemory.Store
	most      int // most writes to the table by one process that took effect
	bundle    *bergamotbundle.Bundle
	fleet     *bergamotfleet.Fleet
	entries   []*entryModel
	processes []*process
	journal   []run // calls that the service ran
	late      []func()
	calls     []*callModel
	number    int
}

// run is one line of the service's journal.
type run struct {
	name   string
	id     string
	answer string
}

// entryModel is one entry; a killed one is replaced by a new process of the same name.
type entryModel struct {
	name   string
	killed bool
	claims *bergamotclaim.Claims
	chain  bergamotchain.Handler
}

// callModel is one call by a caller with its outcome.
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
	m.store.Hook = stop
	m.store.Written = func(ctx context.Context) {
		if p, ok := ctx.Value(processKey{}).(*process); ok {
			p.writes++
			m.most = max(m.most, p.writes)
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
		Table: m.store, Objects: m.store, Clock: m.clock, Counter: bergamottest.NoCounter{}, Timeout: granted, Margin: margin, Limit: 16, Memory: 50,
		Attempt: func() string { m.number++; return fmt.Sprintf("%s-%d", name, m.number) },
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
		&bergamotfilter.Call{Caller: m, Counter: bergamottest.NoCounter{}, Clock: m.clock, Retries: retries},
		bergamotfilter.Resolve{}, &bergamotfilter.Deadline{Clock: m.clock},
		&bergamotfilter.Claim{Claims: e.claims, Asker: m, Clock: m.clock},
	)
	return e
}

// start sends a call to an entry.
func (m *model) start(e *entryModel, workspace, key string) {
	m.number++
	id := fmt.Sprintf("r%d", m.number)
	r := bergamottest.Request(bergamotrequest.Spec{
		ID: id, Kind: bergamotrequest.KindService, Service: "pickup", Call: "book", IdempotencyKey: key, Body: []byte(key),
		Arrival: m.clock.Now(), Timeout: granted,
	})
	c := &callModel{id: id, name: workspace + "/" + key}
	m.calls = append(m.calls, c)
	m.processes = append(m.processes, spawn(e, func(ctx context.Context) {
		x := bergamotchain.NewExchange(r, bergamotcontrol.NewView(m.clock.Now(), m.bundle, m.fleet), c)
		w, _ := m.bundle.Workspace(workspace)
		x.SetWorkspace(w)
		c.err = e.chain.Handle(ctx, x)
		c.ended = true
	}))
}

// Call is the service: it runs every call that reaches it.
func (m *model) Call(ctx context.Context, _, name string, r *bergamotrequest.Request) (reply bergamotrequest.Reply, err error) {
	f := stop(ctx, "call")
	// Every second answer is too large for a row.
	body := r.ID() + strings.Repeat(".", len(m.journal)%2*20)
	apply := func() { m.journal = append(m.journal, run{name: name, id: r.ID(), answer: body}) }
	switch f {
	case faultOK:
		apply()
		return bergamotrequest.NewReply(200, "text/plain", []byte(body)), nil
	case faultLost:
		apply()
	case faultLate:
		m.late = append(m.late, apply)
	case faultReject:
		return reply, bergamotfilter.ErrNotSent
	}
	return reply, bergamotmemory.ErrNoReply
}

// Ask is the service's word on whether a call ran, which is true at the time of the answer.
func (m *model) Ask(ctx context.Context, _, _, name string) (ran bool, err error) {
	if stop(ctx, "ask") != faultOK {
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

// Token is not used by service calls.
func (c *callModel) Token(context.Context, bergamotrequest.Token) error {
	return errors.New("no tokens")
}

// Reply keeps the answer that the caller got.
func (c *callModel) Reply(_ context.Context, r bergamotrequest.Reply) error {
	c.reply = &r
	return nil
}
