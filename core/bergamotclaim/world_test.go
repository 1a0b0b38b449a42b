package bergamotclaim_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotclaim"
	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamotstore"
)

const (
	granted = time.Hour // of virtual time, so that no timer of a context fires during a test
	margin  = time.Minute
	limit   = 64
)

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// world is two entries a and b on one platform.
type world struct {
	clock    *bergamotclock.Virtual
	table    *memTable
	objects  *memObjects
	faults   []fate // fates of the next operations on table and objects; fateOK when empty
	ops      []string
	onOp     func(ctx context.Context, op string)
	attempts int
	a, b     *bergamotclaim.Claims
}

func newWorld() *world {
	w := &world{clock: bergamotclock.NewVirtual(time.Unix(0, 0)), onOp: func(context.Context, string) {}}
	next := func(ctx context.Context, op string) (f fate) {
		w.ops = append(w.ops, op)
		w.onOp(ctx, op)
		if len(w.faults) > 0 {
			f, w.faults = w.faults[0], w.faults[1:]
		}
		return f
	}
	w.table = &memTable{rows: map[string]bergamotstore.Row{}, hook: next}
	w.objects = &memObjects{data: map[string][]byte{}, hook: next}
	w.a, w.b = w.entry("a"), w.entry("b")
	return w
}

func (w *world) entry(name string) *bergamotclaim.Claims {
	c := &bergamotclaim.Claims{
		Table: w.table, Objects: w.objects, Clock: w.clock, Counter: noCounter{}, Timeout: granted, Margin: margin, Limit: limit, Memory: 1000,
		Attempt: func() string { w.attempts++; return fmt.Sprintf("%s-%d", name, w.attempts) },
		Backoff: func(int) time.Duration { return time.Second },
	}
	c.Init()
	return c
}

func newRequest(id, key, body string) *bergamotrequest.Request {
	r, err := bergamotrequest.New(bergamotrequest.Spec{
		ID: id, Kind: bergamotrequest.KindService, Service: "pickup", Call: "book", Idem: key, Body: []byte(body),
	})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return r
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
func (w *world) refused(c *bergamotclaim.Claims, ask bergamotclaim.Ask, reason bergamotrequest.Reason, run bergamotrequest.Run) {
	_, _, refusal := w.begin(c, ask)
	gomega.Expect(refusal).NotTo(gomega.BeNil())
	gomega.Expect(refusal.Reason()).To(gomega.Equal(reason))
	gomega.Expect(refusal.Run()).To(gomega.Equal(run))
}

// replayed expects that a repeat gets the stored answer.
func (w *world) replayed(c *bergamotclaim.Claims, body string) {
	claim, reply, refusal := w.begin(c, nil)
	gomega.Expect(refusal).To(gomega.BeNil())
	gomega.Expect(claim).To(gomega.BeNil())
	gomega.Expect(reply.Replay()).To(gomega.BeTrue())
	gomega.Expect(string(reply.Body())).To(gomega.Equal(body))
	gomega.Expect(reply.Status()).To(gomega.Equal(201))
}

func answer(body string) bergamotrequest.Reply {
	return bergamotrequest.NewReply(201, "text/plain", []byte(body))
}

func (w *world) state() bergamotclaim.State {
	record, err := bergamotclaim.DecodeRecord(w.table.row(bergamotclaim.RowKey("kitchen", "k")).Value())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return record.State()
}
