package bergamotclaim

import (
	"context"
	"time"

	"bergamotspur/core/bergamotrequest"
)

// minConcludeTimeout is the minimum timeout of the first attempt to write the outcome of a call, also when the caller's
// deadline has passed. It is many times the round trip to the table service, and short enough that a table service that
// does not respond does not hold up the caller.
const minConcludeTimeout = 250 * time.Millisecond

// Claim is the right to dispatch one call. Exactly one of its methods must be called, and only once.
type Claim struct {
	claims   *Claims
	key      string
	revision int64
	record   Record
	deadline time.Time
}

// Done records the answer of a call that ran. If the answer cannot be stored, it is queued in memory.
func (c *Claim) Done(ctx context.Context, reply bergamotrequest.Reply) {
	c.finish(ctx, c.record.withState(StateDone), reply)
}

// Unknown records that the call was dispatched but its outcome is not known.
func (c *Claim) Unknown(ctx context.Context) {
	c.finish(ctx, c.record.withState(StateUnknown), bergamotrequest.Reply{})
}

// Release frees the idempotency key, so that the caller can retry. The call must not have been dispatched and must not
// be dispatched later.
func (c *Claim) Release(ctx context.Context) {
	c.claims.undispatched.getOrPut(c.record.Attempt(), struct{}{})
	c.finish(ctx, c.record.withState(StateFree), bergamotrequest.Reply{})
}

// finish writes the conclusion, even if ctx is done. A conclusion that cannot be written before the deadline is queued
// for Run, so that a table service that does not respond does not delay the response to the caller.
func (c *Claim) finish(ctx context.Context, record Record, reply bergamotrequest.Reply) {
	i := item{key: c.key, revision: c.revision, record: record, reply: reply}
	timeout := max(c.deadline.Sub(c.claims.Clock.Now()), minConcludeTimeout)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	if !c.claims.conclude(ctx, &i) {
		c.claims.enqueue(i)
	}
}
