package bergamotfilter_test

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

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

const callBundle = bergamottest.MinimalBundle + `[service pickup]
once = book
repeat = look
ask = outcome
[workspace kitchen]
keys = 0000000000000000000000000000000000000000000000000000000000000000
services = *
`

// rig is the claim filter and the call handler over a table in memory and a scripted service.
type rig struct {
	clock   *bergamotclock.Virtual
	store   *bergamotmemory.Store
	script  []func(ctx context.Context) error // what each attempt does; the service runs the call on a nil error
	sent    []string                          // addresses in the order of the attempts
	asked   []string
	reserve float64
	pause   time.Duration // of the entry between claim and dispatch
	reply   *bergamotrequest.Reply
	claims  *bergamotclaim.Claims
}

func newRig() *rig {
	g := &rig{clock: bergamotclock.NewVirtual(time.Unix(0, 0)), store: bergamotmemory.NewStore(), reserve: 100}
	g.claims = &bergamotclaim.Claims{
		Table: g.store, Clock: g.clock, Counter: bergamottest.NoCounter{}, Timeout: time.Hour, Margin: time.Second, Limit: 1000,
		Attempt: func() string { return "a-" + strings.Repeat("i", len(g.sent)+1) },
	}
	g.claims.Init()
	return g
}

func (g *rig) Call(ctx context.Context, address, _ string, _ *bergamotrequest.Request) (reply bergamotrequest.Reply, err error) {
	g.sent = append(g.sent, address)
	if n := len(g.sent) - 1; n < len(g.script) {
		err = g.script[n](ctx)
	}
	return bergamotrequest.NewReply(200, "text/plain", []byte("B1")), err
}

func (g *rig) Ask(_ context.Context, address, call, name string) (bool, error) {
	g.asked = append(g.asked, address+" "+call+" "+name)
	return address == "2", nil // only the second instance has the call in its journal
}

func (g *rig) Token(context.Context, bergamotrequest.Token) error { return errors.New("no tokens") }

func (g *rig) Reply(_ context.Context, r bergamotrequest.Reply) error {
	g.reply = &r
	return nil
}

// do sends a call and returns its refusal, nil when it was answered.
func (g *rig) do(ctx context.Context, call, idem string) *bergamotrequest.Refusal {
	b := bergamottest.Bundle(callBundle)
	fleet := bergamotfleet.NewFleet([]bergamotfleet.Instance{
		bergamotfleet.NewInstance(bergamotfleet.Spec{Name: "p1", Address: "1", Role: "pickup"}),
		bergamotfleet.NewInstance(bergamotfleet.Spec{Name: "p2", Address: "2", Role: "pickup"}),
		bergamotfleet.NewInstance(bergamotfleet.Spec{Name: "p3", Address: "3", Role: "pickup", Leaving: true}),
	})
	budget := &bergamotretry.Budget{Clock: g.clock, Reserve: g.reserve, Window: time.Second, MaxKeys: 10}
	retries := &bergamotretry.Retries{
		Clock: g.clock, Workspaces: budget, Targets: &bergamotretry.Budget{Clock: g.clock, Reserve: 100, Window: time.Second, MaxKeys: 10},
		Backoff: &bergamotretry.Backoff{Rand: func() float64 { return 0 }},
	}
	dispatch := &bergamotfilter.Call{Caller: g, Counter: bergamottest.NoCounter{}, Clock: g.clock, Retries: retries}
	chain := bergamotchain.NewChain(
		bergamotchain.HandlerFunc(func(ctx context.Context, x *bergamotchain.Exchange) error {
			g.clock.Advance(g.pause)
			return dispatch.Handle(ctx, x)
		}),
		&bergamotfilter.Recover{Counter: bergamottest.NoCounter{}, Report: func(string, any) {}}, bergamotfilter.Resolve{},
		&bergamotfilter.Deadline{Clock: g.clock},
		&bergamotfilter.Claim{Claims: g.claims, Asker: g, Clock: g.clock},
	)
	r := bergamottest.Request(bergamotrequest.Spec{
		ID: "r", Kind: bergamotrequest.KindService, Service: "pickup", Call: call, IdempotencyKey: idem,
		Arrival: g.clock.Now(), Timeout: time.Hour,
	})
	x := bergamotchain.NewExchange(r, bergamotcontrol.NewView(g.clock.Now(), b, fleet), g)
	w, _ := b.Workspace("kitchen")
	x.SetWorkspace(w)
	if err := chain.Handle(ctx, x); err != nil {
		return bergamotrequest.AsRefusal(err)
	}
	return nil
}

func (g *rig) state() bergamotclaim.State {
	record := bergamottest.Must(bergamotclaim.DecodeRecord(g.store.Row(bergamotclaim.RowKey("kitchen", "k")).Value()))
	return record.State()
}

func notSent(context.Context) error { return bergamotfilter.ErrNotSent }

func lost(context.Context) error { return errors.New("connection reset") }

var _ = ginkgo.Describe("Claim and Call", func() {
	type outcome struct {
		call   string
		script []func(context.Context) error
		budget float64
		reason bergamotrequest.Reason // of the refusal, empty for an answer
		run    bergamotrequest.RunState
		state  bergamotclaim.State // of the row, empty when there must be none
		sent   int
	}
	// Guards against a second attempt of a call that may have run, a wrong run state, a claim that stays although nothing
	// was sent, and retries beyond the budget.
	bergamottest.Cases(map[string]outcome{
		"record an answer": {call: "book", state: bergamotclaim.StateDone, sent: 1},
		"try the next instance when nothing was sent":     {call: "book", script: []func(context.Context) error{notSent}, state: bergamotclaim.StateDone, sent: 2},
		"release the claim when nothing was sent":         {call: "book", script: []func(context.Context) error{notSent, notSent}, reason: bergamotrequest.ReasonTarget, state: bergamotclaim.StateFree, sent: 2},
		"never send again what may have run":              {call: "book", script: []func(context.Context) error{lost}, reason: bergamotrequest.ReasonTarget, run: bergamotrequest.RunUnknown, state: bergamotclaim.StateUnknown, sent: 1},
		"never send again after an instance that was not": {call: "book", script: []func(context.Context) error{notSent, lost}, reason: bergamotrequest.ReasonTarget, run: bergamotrequest.RunUnknown, state: bergamotclaim.StateUnknown, sent: 2},
		"record an unknown outcome after a panic":         {call: "book", script: []func(context.Context) error{func(context.Context) error { panic("fault") }}, reason: bergamotrequest.ReasonInternal, run: bergamotrequest.RunUnknown, state: bergamotclaim.StateUnknown, sent: 1},
		"send a repeatable call again":                    {call: "look", script: []func(context.Context) error{lost}, sent: 2},
		"refuse a retry beyond the budget, not run":       {call: "book", script: []func(context.Context) error{notSent}, budget: -1, reason: bergamotrequest.ReasonBudget, state: bergamotclaim.StateFree, sent: 1},
		"refuse a retry beyond the budget, unknown":       {call: "look", script: []func(context.Context) error{lost}, budget: -1, reason: bergamotrequest.ReasonBudget, run: bergamotrequest.RunUnknown, sent: 1},
	}, func(c outcome) {
		g := newRig()
		g.script = c.script
		g.reserve += c.budget * 100
		refusal := g.do(context.Background(), c.call, "k")
		gomega.Expect(g.sent).To(gomega.HaveLen(c.sent))
		gomega.Expect(g.sent).NotTo(gomega.ContainElement("3"))
		if c.state == "" {
			gomega.Expect(g.store.Writes()).To(gomega.BeZero())
		} else {
			gomega.Expect(g.state()).To(gomega.Equal(c.state))
		}
		if c.reason == "" {
			gomega.Expect(refusal).To(gomega.BeNil())
			return
		}
		bergamottest.ExpectRefusal(refusal, c.reason, c.run)
	})

	// Guards against a call that is cut off, or an outcome that is lost, when its caller disconnects or the listener is
	// restarted: both end the context of the request.
	ginkgo.It("finish a claimed call whose caller goes away, and record its answer", func() {
		g := newRig()
		gone, hangUp := context.WithCancel(context.Background())
		g.script = []func(context.Context) error{func(ctx context.Context) error {
			hangUp()
			return ctx.Err()
		}}
		gomega.Expect(g.do(gone, "book", "k")).To(gomega.BeNil())
		gomega.Expect(g.state()).To(gomega.Equal(bergamotclaim.StateDone))
		gomega.Expect(g.do(context.Background(), "book", "k")).To(gomega.BeNil())
		gomega.Expect(g.reply.IsReplay()).To(gomega.BeTrue())
		gomega.Expect(g.sent).To(gomega.HaveLen(1))
	})

	// Guards against a dispatch by an entry that was paused after the claim until the deadline had passed.
	ginkgo.It("send nothing after the deadline and release the claim", func() {
		g := newRig()
		g.pause = 2 * time.Hour // the timer of the context does not fire, as right after a pause of the process
		refusal := g.do(context.Background(), "book", "k")
		bergamottest.ExpectRefusal(refusal, bergamotrequest.ReasonDeadline, bergamotrequest.RunNo)
		gomega.Expect(g.sent).To(gomega.BeEmpty())
		gomega.Expect(g.state()).To(gomega.Equal(bergamotclaim.StateFree))
	})

	// Guards against the word of one instance that does not know the calls of another.
	ginkgo.It("ask every instance whether a call ran, by the name that includes the workspace", func() {
		g := newRig()
		g.script = []func(context.Context) error{lost}
		g.do(context.Background(), "book", "k")
		refusal := g.do(context.Background(), "book", "k")
		gomega.Expect(refusal.RunState()).To(gomega.Equal(bergamotrequest.RunYes))
		gomega.Expect(g.asked).To(gomega.Equal([]string{"1 outcome kitchen/k", "2 outcome kitchen/k"}))
	})

	// Guards against rows whose keys the table service does not accept.
	ginkgo.It("refuse a very long idempotency key", func() {
		refusal := newRig().do(context.Background(), "book", strings.Repeat("k", 256))
		gomega.Expect(refusal.Reason()).To(gomega.Equal(bergamotrequest.ReasonIdempotency))
	})
})
