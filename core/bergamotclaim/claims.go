package bergamotclaim

import (
	"context"
	"time"

	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamotstore"
)

// Bounds of the memory and the work of one entry.
const (
	recentLimit  = 4096 // attempts remembered as first seen, or as never dispatched
	claimTries   = 3    // conflicts with other entries after which a claim is given up
	retryClaimed = time.Second
	retryTable   = time.Second
	retryAsk     = 5 * time.Second
)

// Claims claims calls before their dispatch and concludes them afterwards.
type Claims struct {
	Table   Table
	Objects Objects
	Clock   Clock
	Counter Counter
	Attempt func() string           // returns an identifier that no other attempt of any entry has
	Backoff func(int) time.Duration // wait before the nth repetition of a conclusion, from 1
	Timeout time.Duration           // longest time of one read or write
	Margin  time.Duration           // time after the claiming entry's deadline until its claim counts as unresolved
	Limit   int                     // bytes of an answer that a row can hold
	Memory  int                     // bytes of answers that may wait in memory until they can be stored

	unsent *recent[struct{}] // own attempts that were not dispatched and never will be
	seen   *recent[time.Time]
	queue  *queue
}

// Init prepares the memory of the entry; it is kept when Run is restarted.
func (c *Claims) Init() {
	c.unsent = newRecent[struct{}](recentLimit)
	c.seen = newRecent[time.Time](recentLimit)
	c.queue = newQueue()
}

// Begin claims the call for dispatch. A nil claim without an error means that reply is the stored answer; an
// error is a *bergamotrequest.Refusal, after which the caller of Begin must not dispatch. ask may be nil.
func (c *Claims) Begin(ctx context.Context, call Call, ask Ask) (claim *Claim, reply bergamotrequest.Reply, err error) {
	record := newRecord(call, c.Attempt(), call.Deadline().Sub(c.Clock.Now()))
	revision := int64(0)
	for range claimTries {
		row, result := c.write(ctx, call.Key(), revision, record)
		switch result {
		case resultWritten:
			claim, err = c.granted(ctx, call, record, row.Revision())
			return claim, reply, err
		case resultUnclear:
			// The write may take effect later; the row is then free for this entry, which knows the attempt.
			c.unsent.getOrPut(record.Attempt(), struct{}{})
			c.enqueue(item{key: call.Key(), revision: revisionUnknown, record: record.with(StateFree)})
			return nil, reply, refuseTable()
		case resultRejected:
			return nil, reply, refuseTable()
		}
		free, stored, refusal := c.judge(ctx, call, row, ask)
		if refusal != nil {
			return nil, reply, refusal
		}
		if !free {
			c.Counter.Count("claim.replayed")
			return nil, stored.AsReplay(), nil
		}
		revision = row.Revision()
	}
	return nil, reply, bergamotrequest.Refuse(bergamotrequest.ReasonProgress, "other entries claim the same call").WithRetryAfter(retryClaimed)
}

func refuseTable() *bergamotrequest.Refusal {
	return bergamotrequest.Refuse(bergamotrequest.ReasonTable, "the table service did not accept the claim").WithRetryAfter(retryTable)
}

// granted returns the claim unless the deadline passed while it was written.
func (c *Claims) granted(ctx context.Context, call Call, record Record, revision int64) (*Claim, error) {
	claim := &Claim{claims: c, key: call.Key(), revision: revision, record: record, deadline: call.Deadline()}
	if c.Clock.Now().Before(call.Deadline()) {
		c.Counter.Count("claim.granted")
		return claim, nil
	}
	claim.Release(ctx)
	return nil, bergamotrequest.Refuse(bergamotrequest.ReasonDeadline, "the deadline passed while the call was claimed")
}

// judge decides what the row of an earlier attempt means for a repeat: the key is free, or there is a stored
// answer, or the repeat is refused.
func (c *Claims) judge(ctx context.Context, call Call, row bergamotstore.Row, ask Ask) (free bool, reply bergamotrequest.Reply, refusal *bergamotrequest.Refusal) {
	old, err := DecodeRecord(row.Value())
	if err != nil {
		return false, reply, bergamotrequest.Refuse(bergamotrequest.ReasonInternal, "%s", err).WithRun(bergamotrequest.RunUnknown)
	}
	if old.Digest() != call.Digest() {
		return false, reply, bergamotrequest.Refuse(bergamotrequest.ReasonDigest, "the idempotency key was used for a call with other content")
	}
	switch old.State() {
	case StateFree:
		return true, reply, nil
	case StateDone:
		reply, refusal = c.load(ctx, old)
		return false, reply, refusal
	case StateRan:
		return false, reply, refuseRan()
	case StateUnknown:
		return false, reply, c.unresolved(ctx, row, old, ask)
	}
	if c.unsent.has(old.Attempt()) {
		return true, reply, nil
	}
	if own, ok := c.queue.find(old.Attempt()); ok && own.record.State() == StateDone {
		return false, own.reply, nil
	} else if ok && own.record.State() == StateRan {
		return false, reply, refuseRan()
	}
	now := c.Clock.Now()
	first := c.seen.getOrPut(old.Attempt(), now)
	if now.Sub(first) < old.Granted()+c.Margin {
		return false, reply, bergamotrequest.Refuse(bergamotrequest.ReasonProgress, "the same call is in progress").
			WithRun(bergamotrequest.RunUnknown).WithRetryAfter(retryClaimed)
	}
	return false, reply, c.unresolved(ctx, row, old, ask)
}

func refuseRan() *bergamotrequest.Refusal {
	return bergamotrequest.Refuse(bergamotrequest.ReasonUnknown, "the call ran, but its answer was lost").WithRun(bergamotrequest.RunYes)
}

// unresolved asks the service about a call whose outcome was not recorded. Only the answer that it ran is final:
// a paused entry, or a request still on its way, can run the call after the service said that it did not.
func (c *Claims) unresolved(ctx context.Context, row bergamotstore.Row, old Record, ask Ask) *bergamotrequest.Refusal {
	f := bergamotrequest.Refuse(bergamotrequest.ReasonUnknown, "the outcome of the call is not known").WithRun(bergamotrequest.RunUnknown)
	if ask == nil {
		return f
	}
	ctx, cancel := c.bound(ctx)
	defer cancel()
	ran, err := ask(ctx)
	if err != nil || !ran {
		return f.WithRetryAfter(retryAsk)
	}
	// When this write fails, the next repeat asks again.
	c.write(ctx, row.Key(), row.Revision(), old.with(StateRan))
	return refuseRan()
}
