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
	granted = time.Hour // of virtual time, so that no timer of a context fires during a test
	margin  = time.Minute
	limit   = 64
)

type fault = bergamotmemory.Fault

const (
	faultOK     = bergamotmemory.OK
	faultDown   = bergamotmemory.Down
	faultLost   = bergamotmemory.ReplyLost
	faultLate   = bergamotmemory.Delayed
	faultDouble = bergamotmemory.Duplicated
	faultReject = bergamotmemory.Rejected
)

// world is two entries a and b on one platform.
type world struct {
	clock    *bergamotclock.Virtual
	store    *bergamotmemory.Store
	onOp     func(ctx context.Context, op string)
	attempts int
	a, b     *bergamotclaim.Claims
}

func newWorld() *world {
	w := &world{clock: bergamotclock.NewVirtual(time.Unix(0, 0)), onOp: func(context.Context, string) {}}
	w.store = bergamotmemory.NewStore()
	w.store.Hook = func(ctx context.Context, op string) fault {
		w.onOp(ctx, op)
		return faultOK
	}
	w.a, w.b = w.entry("a"), w.entry("b")
	return w
}

func (w *world) entry(name string) *bergamotclaim.Claims {
	c := &bergamotclaim.Claims{
		Table: w.store, Objects: w.store, Clock: w.clock, Counter: bergamottest.NoCounter{}, Timeout: granted, Margin: margin, Limit: limit, Memory: 1000,
		Attempt: func() string { w.attempts++; return fmt.Sprintf("%s-%d", name, w.attempts) },
		Backoff: func(int) time.Duration { return time.Second },
	}
	c.Init()
	return c
}

// fail sets the faults of the next operations.
func (w *world) fail(faults ...fault) { w.store.Plan[bergamotmemory.Any] = faults }

func newRequest(id, key, body string) *bergamotrequest.Request {
	return bergamottest.Request(bergamotrequest.Spec{
		ID: id, Kind: bergamotrequest.KindService, Service: "pickup", Call: "book", IdempotencyKey: key, Body: []byte(body),
	})
}

// begin claims the call "k" of the workspace "kitchen".
func (w *world) begin(c *bergamotclaim.Claims, ask bergamotclaim.Ask) (*bergamotclaim.Claim, bergamotrequest.Reply, *bergamotrequest.Refusal) {
	return w.beginBody(c, "slot", ask)
}

func (w *world) beginBody(c *bergamotclaim.Claims, body string, ask bergamotclaim.Ask) (*bergamotclaim.Claim, bergamotrequest.Reply, *bergamotrequest.Refusal) {
	call := bergamotclaim.NewCall("kitchen", newRequest("r", "k", body), w.clock.Now().Add(granted))
	claim, reply, err := c.Begin(context.Background(), call, ask)
	if err != nil {
		return nil, reply, bergamotrequest.AsRefusal(err)
	}
	return claim, reply, nil
}

// claim claims the call at an entry where nothing may prevent it.
func (w *world) claim(c *bergamotclaim.Claims) *bergamotclaim.Claim {
	claim, _, refusal := w.begin(c, nil)
	gomega.Expect(refusal).To(gomega.BeNil())
	gomega.Expect(claim).NotTo(gomega.BeNil())
	return claim
}

// refused expects that a repeat is refused with a reason and a run state.
func (w *world) refused(c *bergamotclaim.Claims, ask bergamotclaim.Ask, reason bergamotrequest.Reason, run bergamotrequest.RunState) {
	_, _, refusal := w.begin(c, ask)
	gomega.Expect(refusal).NotTo(gomega.BeNil())
	bergamottest.ExpectRefusal(refusal, reason, run)
}

// replayed expects that a repeat gets the stored answer.
func (w *world) replayed(c *bergamotclaim.Claims, body string) {
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

func (w *world) state() bergamotclaim.State {
	record := bergamottest.Must(bergamotclaim.DecodeRecord(w.store.Row(bergamotclaim.RowKey("kitchen", "k")).Value()))
	return record.State()
}
