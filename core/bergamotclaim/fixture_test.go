package bergamotclaim_test

import (
	"context"
	"fmt"
	"time"

	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotclaim"
	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotmemory"
	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamottest"
)

const (
	callTimeout    = time.Hour // long enough that no context, whose timers use real time, expires during a test
	margin         = time.Minute
	maxInlineBytes = 64
)

type fault = bergamotmemory.Fault

const (
	faultOK         = bergamotmemory.OK
	faultDown       = bergamotmemory.Down
	faultReplyLost  = bergamotmemory.ReplyLost
	faultDelayed    = bergamotmemory.Delayed
	faultDuplicated = bergamotmemory.Duplicated
	faultRejected   = bergamotmemory.Rejected
)

// fixture is two entries, a and b, that share a table and an object store.
type fixture struct {
	clock           *bergamotclock.Virtual
	store           *bergamotmemory.Store
	beforeOperation func(ctx context.Context, op string)
	attempts        int
	a, b            *bergamotclaim.Claims
}

func newFixture() *fixture {
	w := &fixture{clock: bergamotclock.NewVirtual(time.Unix(0, 0)), beforeOperation: func(context.Context, string) {}}
	w.store = bergamotmemory.NewStore()
	w.store.Hook = func(ctx context.Context, op string) fault {
		w.beforeOperation(ctx, op)
		return faultOK
	}
	w.a, w.b = w.newClaims("a"), w.newClaims("b")
	return w
}

func (w *fixture) newClaims(name string) *bergamotclaim.Claims {
	c := &bergamotclaim.Claims{
		Table: w.store, Objects: w.store, Clock: w.clock, Counter: bergamottest.NoCounter{}, Timeout: callTimeout, Margin: margin, MaxInlineBytes: maxInlineBytes, MaxQueuedBytes: 1000,
		NewAttemptID: func() string { w.attempts++; return fmt.Sprintf("%s-%d", name, w.attempts) },
		Backoff:      func(int) time.Duration { return time.Second },
	}
	c.Init()
	return c
}

// injectFaults sets the faults of the next operations.
func (w *fixture) injectFaults(faults ...fault) { w.store.Plan[bergamotmemory.Any] = faults }

func newRequest(id, key, body string) *bergamotrequest.Request {
	return bergamottest.Request(bergamotrequest.Spec{
		ID: id, Kind: bergamotrequest.KindService, Service: "pickup", Call: "book", IdempotencyKey: key, Body: []byte(body),
	})
}

// begin claims the call "k" of the workspace "kitchen".
func (w *fixture) begin(c *bergamotclaim.Claims, ask bergamotclaim.AskFunc) (*bergamotclaim.Claim, bergamotrequest.Reply, *bergamotrequest.Refusal) {
	return w.beginBody(c, "slot", ask)
}

func (w *fixture) beginBody(c *bergamotclaim.Claims, body string, ask bergamotclaim.AskFunc) (*bergamotclaim.Claim, bergamotrequest.Reply, *bergamotrequest.Refusal) {
	call := bergamotclaim.NewCall("kitchen", newRequest("r", "k", body), w.clock.Now().Add(callTimeout))
	claim, reply, err := c.Begin(context.Background(), call, ask)
	if err != nil {
		return nil, reply, bergamotrequest.AsRefusal(err)
	}
	return claim, reply, nil
}

// claim claims the call at an entry and expects that it succeeds.
func (w *fixture) claim(c *bergamotclaim.Claims) *bergamotclaim.Claim {
	claim, _, refusal := w.begin(c, nil)
	gomega.Expect(refusal).To(gomega.BeNil())
	gomega.Expect(claim).NotTo(gomega.BeNil())
	return claim
}

// expectRefusal expects that an entry refuses the call with a reason and a run state.
func (w *fixture) expectRefusal(c *bergamotclaim.Claims, ask bergamotclaim.AskFunc, reason bergamotrequest.Reason, run bergamotrequest.RunState) {
	_, _, refusal := w.begin(c, ask)
	gomega.Expect(refusal).NotTo(gomega.BeNil())
	bergamottest.ExpectRefusal(refusal, reason, run)
}

// expectReplay expects that an entry replays the stored answer to the call.
func (w *fixture) expectReplay(c *bergamotclaim.Claims, body string) {
	claim, reply, refusal := w.begin(c, nil)
	gomega.Expect(refusal).To(gomega.BeNil())
	gomega.Expect(claim).To(gomega.BeNil())
	gomega.Expect(reply.IsReplay()).To(gomega.BeTrue())
	gomega.Expect(string(reply.Body())).To(gomega.Equal(body))
	gomega.Expect(reply.Status()).To(gomega.Equal(201))
}

func answer(body string) bergamotrequest.Reply {
	return bergamotrequest.NewReply(201, "text/plain", []byte(body))
}

func (w *fixture) state() bergamotclaim.State {
	record := bergamottest.Must(bergamotclaim.DecodeRecord(w.store.Row(bergamotclaim.RowKey("kitchen", "k")).Value()))
	return record.State()
}
