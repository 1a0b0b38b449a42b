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

// claimFixture runs the claim filter and the call handler over an in-memory table and a scripted service.
type claimFixture struct {
	clock   *bergamotclock.Virtual
	store   *bergamotmemory.Store
	script  []func(ctx context.Context) error // one function per attempt; the service runs the call if it returns nil
	sent    []string                          // addresses of the attempts in order
	asked   []string
	reserve float64
	pause   time.Duration // suspension of the entry between claim and dispatch
	reply   *bergamotrequest.Reply
	claims  *bergamotclaim.Claims
}

func newClaimFixture() *claimFixture {
	g := &claimFixture{clock: bergamotclock.NewVirtual(time.Unix(0, 0)), store: bergamotmemory.NewStore(), reserve: 100}
	g.claims = &bergamotclaim.Claims{
		Table: g.store, Clock: g.clock, Counter: bergamottest.NoCounter{}, Timeout: time.Hour, Margin: time.Second, MaxInlineBytes: 1000,
		NewAttemptID: func() string { return "a-" + strings.Repeat("i", len(g.sent)+1) },
	}
	g.claims.Init()
	return g
}

func (g *claimFixture) Call(ctx context.Context, address, _ string, _ *bergamotrequest.Request) (reply bergamotrequest.Reply, err error) {
	g.sent = append(g.sent, address)
	if n := len(g.sent) - 1; n < len(g.script) {
		err = g.script[n](ctx)
	}
	return bergamotrequest.NewReply(200, "text/plain", []byte("B1")), err
}

func (g *claimFixture) Ask(_ context.Context, address, call, name string) (bool, error) {
	g.asked = append(g.asked, address+" "+call+" "+name)
	return address == "2", nil // only the second instance ran the call
}

func (g *claimFixture) Token(context.Context, bergamotrequest.Token) error {
	return errors.New("no tokens")
}

func (g *claimFixture) Reply(_ context.Context, r bergamotrequest.Reply) error {
	g.reply = &r
	return nil
}

// send sends a call and returns its refusal, nil if it was answered.
func (g *claimFixture) send(ctx context.Context, call, idempotencyKey string) *bergamotrequest.Refusal {
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
	dispatch := &bergamotfilter.CallHandler{Caller: g, Counter: bergamottest.NoCounter{}, Clock: g.clock, Retries: retries}
	chain := bergamotchain.NewChain(
		bergamotchain.HandlerFunc(func(ctx context.Context, x *bergamotchain.Exchange) error {
			g.clock.Advance(g.pause)
			return dispatch.Handle(ctx, x)
		}),
		&bergamotfilter.Recovery{Counter: bergamottest.NoCounter{}, Report: func(string, any) {}}, bergamotfilter.Resolver{},
		&bergamotfilter.Deadline{Clock: g.clock},
		&bergamotfilter.Claim{Claims: g.claims, Asker: g, Clock: g.clock},
	)
	r := bergamottest.Request(bergamotrequest.Spec{
		ID: "r", Kind: bergamotrequest.KindService, Service: "pickup", Call: call, IdempotencyKey: idempotencyKey,
		ArrivedAt: g.clock.Now(), Timeout: time.Hour,
	})
	x := bergamotchain.NewExchange(r, bergamotcontrol.NewView(g.clock.Now(), b, fleet), g)
	w, _ := b.Workspace("kitchen")
	x.SetWorkspace(w)
	if err := chain.Handle(ctx, x); err != nil {
		return bergamotrequest.AsRefusal(err)
	}
	return nil
}

func (g *claimFixture) state() bergamotclaim.State {
	record := bergamottest.Must(bergamotclaim.DecodeRecord(g.store.Row(bergamotclaim.RowKey("kitchen", "k")).Value()))
	return record.State()
}

func notSent(context.Context) error { return bergamotfilter.ErrNotSent }

func connectionReset(context.Context) error { return errors.New("connection reset") }

var _ = ginkgo.Describe("Claim and CallHandler", func() {
	type outcome struct {
		call   string
		script []func(context.Context) error
		budget float64
		reason bergamotrequest.Reason // of the refusal, empty if the call is answered
		run    bergamotrequest.RunState
		state  bergamotclaim.State // of the row, empty if there must be none
		sent   int
	}
	// Guards against a retry of a call that may have run, a wrong run state, a claim that is kept although nothing was
	// sent, and retries beyond the budget.
	bergamottest.Cases(map[string]outcome{
		"record a reply": {call: "book", state: bergamotclaim.StateDone, sent: 1},
		"fail over to the next instance when nothing was sent":          {call: "book", script: []func(context.Context) error{notSent}, state: bergamotclaim.StateDone, sent: 2},
		"release the claim when nothing was sent":                       {call: "book", script: []func(context.Context) error{notSent, notSent}, reason: bergamotrequest.ReasonTarget, state: bergamotclaim.StateFree, sent: 2},
		"do not retry a call that may have run":                         {call: "book", script: []func(context.Context) error{connectionReset}, reason: bergamotrequest.ReasonTarget, run: bergamotrequest.RunUnknown, state: bergamotclaim.StateUnknown, sent: 1},
		"do not retry a call that may have run after a failover":        {call: "book", script: []func(context.Context) error{notSent, connectionReset}, reason: bergamotrequest.ReasonTarget, run: bergamotrequest.RunUnknown, state: bergamotclaim.StateUnknown, sent: 2},
		"record an unknown outcome after a panic":                       {call: "book", script: []func(context.Context) error{func(context.Context) error { panic("fault") }}, reason: bergamotrequest.ReasonInternal, run: bergamotrequest.RunUnknown, state: bergamotclaim.StateUnknown, sent: 1},
		"retry a repeatable call":                                       {call: "look", script: []func(context.Context) error{connectionReset}, sent: 2},
		"refuse a retry beyond the budget, when not run":                {call: "book", script: []func(context.Context) error{notSent}, budget: -1, reason: bergamotrequest.ReasonBudget, state: bergamotclaim.StateFree, sent: 1},
		"refuse a retry beyond the budget, when the outcome is unknown": {call: "look", script: []func(context.Context) error{connectionReset}, budget: -1, reason: bergamotrequest.ReasonBudget, run: bergamotrequest.RunUnknown, sent: 1},
	}, func(c outcome) {
		g := newClaimFixture()
		g.script = c.script
		g.reserve += c.budget * 100
		refusal := g.send(context.Background(), c.call, "k")
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

	// Guards against a call that is cancelled, or an outcome that is lost, when the caller disconnects or the listener
	// restarts: both cancel the context of the request.
	ginkgo.It("finish a claimed call whose caller disconnects, and record its reply", func() {
		g := newClaimFixture()
		callerCtx, disconnect := context.WithCancel(context.Background())
		g.script = []func(context.Context) error{func(ctx context.Context) error {
			disconnect()
			return ctx.Err()
		}}
		gomega.Expect(g.send(callerCtx, "book", "k")).To(gomega.BeNil())
		gomega.Expect(g.state()).To(gomega.Equal(bergamotclaim.StateDone))
		gomega.Expect(g.send(context.Background(), "book", "k")).To(gomega.BeNil())
		gomega.Expect(g.reply.IsReplay()).To(gomega.BeTrue())
		gomega.Expect(g.sent).To(gomega.HaveLen(1))
	})

	// Guards against an entry that was suspended after the claim and sends the call after the deadline.
	ginkgo.It("send nothing after the deadline and release the claim", func() {
		g := newClaimFixture()
		g.pause = 2 * time.Hour // the timer of the context does not fire, as right after the process was suspended
		refusal := g.send(context.Background(), "book", "k")
		bergamottest.ExpectRefusal(refusal, bergamotrequest.ReasonDeadline, bergamotrequest.RunNo)
		gomega.Expect(g.sent).To(gomega.BeEmpty())
		gomega.Expect(g.state()).To(gomega.Equal(bergamotclaim.StateFree))
	})

	// Guards against relying on one instance, which may not know of calls that another one ran.
	ginkgo.It("ask every instance whether a call ran, under a name that includes the workspace", func() {
		g := newClaimFixture()
		g.script = []func(context.Context) error{connectionReset}
		g.send(context.Background(), "book", "k")
		refusal := g.send(context.Background(), "book", "k")
		gomega.Expect(refusal.RunState()).To(gomega.Equal(bergamotrequest.RunYes))
		gomega.Expect(g.asked).To(gomega.Equal([]string{"1 outcome kitchen/k", "2 outcome kitchen/k"}))
	})

	// Guards against row keys that the table service does not accept.
	ginkgo.It("refuse an idempotency key above the maximum length", func() {
		refusal := newClaimFixture().send(context.Background(), "book", strings.Repeat("k", 256))
		gomega.Expect(refusal.Reason()).To(gomega.Equal(bergamotrequest.ReasonIdempotency))
	})
})
