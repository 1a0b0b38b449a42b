package bergamotclaim

import (
	"context"
	"time"

	"bergamotspur/core/bergamotrequest"
)

// concludeGrace is how long a caller whose deadline has passed still waits for the first try to write the outcome. It is
// many times the round trip to the table service, and short enough for a table that does not answer.
const concludeGrace = 250 * time.Millisecond

// Claim is the right to dispatch one call; exactly one of its methods must be called, once.
type Claim struct {
	claims   *Claims
	key      string
	revision int64
	record   Record
	deadline time.Time
}

// Done records the answer of a call that ran. The answer is kept in memory while it cannot be stored.
func (c *Claim) Done(ctx context.Context, reply bergamotrequest.Reply) {
	c.finish(ctx, c.record.with(StateDone), reply)
}

// Unknown records that the call was dispatched and may have run.
func (c *Claim) Unknown(ctx context.Context) {
	c.finish(ctx, c.record.with(StateUnknown), bergamotrequest.Reply{})
}

// Release lets the caller try again; the call must not have been dispatched and must not be dispatched later.
func (c *Claim) Release(ctx context.Context) {
	c.claims.unsent.getOrPut(c.record.Attempt(), struct{}{})
	c.finish(ctx, c.record.with(StateFree), bergamotrequest.Reply{})
}

// finish concludes the call, also when ctx has ended. What cannot be written before the deadline is left to Run, so that
// a table that does not answer delays no answer to a caller.
func (c *Claim) finish(ctx context.Context, record Record, reply bergamotrequest.Reply) {
	i := item{key: c.key, revision: c.revision, record: record, reply: reply}
	left := max(c.deadline.Sub(c.claims.Clock.Now()), concludeGrace)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), left)
	defer cancel()
	if !c.claims.conclude(ctx, &i) {
		c.claims.enqueue(i)
	}
}
