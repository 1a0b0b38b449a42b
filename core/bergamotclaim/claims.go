package bergamotclaim

import (
	"context"
	"time"

	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamotstore"
)

// Limits of one entry, and the Retry-After times of its refusals.
const (
	maxRecentAttempts      = 4096 // attempts that firstSeen and undispatched each hold
	maxClaimTries          = 3    // conflicts with other entries after which a claim is refused
	retryAfterInProgress   = time.Second
	retryAfterStoreFailure = time.Second
	retryAfterUnresolved   = 5 * time.Second
)

// Claims writes a claim to the table before a call is dispatched, and a conclusion after it.
type Claims struct {
	Table          Table
	Objects        Objects
	Clock          Clock
	Counter        Counter
	NewAttemptID   func() string           // returns an identifier that is unique among all entries
	Backoff        func(int) time.Duration // returns the delay before the nth retry of a conclusion, n starting at 1
	Timeout        time.Duration           // of one read or write
	Margin         time.Duration           // time from the deadline of a claim until its outcome counts as unknown
	MaxInlineBytes int                     // maximum size of an answer that is stored in the row instead of an object
	MaxQueuedBytes int                     // maximum total size of the answers in the queue

	undispatched *boundedMap[struct{}] // attempts of this entry that were not dispatched and never will be
	firstSeen    *boundedMap[time.Time]
	queue        *queue
}

// Init allocates the state that is kept in memory, which a restart of Run keeps. It must be called once, before any
// method but Settle.
func (c *Claims) Init() {
	c.undispatched = newBoundedMap[struct{}](maxRecentAttempts)
	c.firstSeen = newBoundedMap[time.Time](maxRecentAttempts)
	c.queue = newQueue()
}

// Begin claims the call for dispatch. If claim and err are both nil, reply is the stored answer. An error is a
// *bergamotrequest.Refusal, and the call must not be dispatched. ask may be nil.
func (c *Claims) Begin(ctx context.Context, call Call, ask AskFunc) (claim *Claim, reply bergamotrequest.Reply, err error) {
	record := newRecord(call, c.NewAttemptID(), call.Deadline().Sub(c.Clock.Now()))
	revision := int64(0)
	for range maxClaimTries {
		row, result := c.write(ctx, call.Key(), revision, record)
		switch result {
		case resultWritten:
			claim, err = c.grant(ctx, call, record, row.Revision())
			return claim, reply, err
		case resultUnclear:
			// The write may still take effect. This entry then treats the row as free, since it knows that the attempt
			// was not dispatched.
			c.undispatched.getOrPut(record.Attempt(), struct{}{})
			c.enqueue(item{key: call.Key(), revision: revisionUnknown, record: record.withState(StateFree)})
			return nil, reply, newTableRefusal()
		case resultRejected:
			return nil, reply, newTableRefusal()
		}
		free, stored, refusal := c.checkEarlierAttempt(ctx, call, row, ask)
		if refusal != nil {
			return nil, reply, refusal
		}
		if !free {
			c.Counter.Count("claim.replayed")
			return nil, stored.AsReplay(), nil
		}
		revision = row.Revision()
	}
	return nil, reply, bergamotrequest.Refuse(bergamotrequest.ReasonProgress, "other entries claim the same call").WithRetryAfter(retryAfterInProgress)
}

func newTableRefusal() *bergamotrequest.Refusal {
	return bergamotrequest.Refuse(bergamotrequest.ReasonTable, "the table service did not accept the claim").WithRetryAfter(retryAfterStoreFailure)
}

// grant returns the claim, or releases it and returns a refusal when the deadline passed during the write.
func (c *Claims) grant(ctx context.Context, call Call, record Record, revision int64) (*Claim, error) {
	claim := &Claim{claims: c, key: call.Key(), revision: revision, record: record, deadline: call.Deadline()}
	if c.Clock.Now().Before(call.Deadline()) {
		c.Counter.Count("claim.granted")
		return claim, nil
	}
	claim.Release(ctx)
	return nil, bergamotrequest.Refuse(bergamotrequest.ReasonDeadline, "the deadline passed while the call was claimed")
}

// checkEarlierAttempt evaluates the row of an earlier attempt at the same call: the key is free, the answer is stored,
// or the repeated call is refused.
func (c *Claims) checkEarlierAttempt(ctx context.Context, call Call, row bergamotstore.Row, ask AskFunc) (free bool, reply bergamotrequest.Reply, refusal *bergamotrequest.Refusal) {
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
		reply, refusal = c.loadAnswer(ctx, old)
		return false, reply, refusal
	case StateRan:
		return false, reply, newAnswerLostRefusal()
	case StateUnknown:
		return false, reply, c.askOutcome(ctx, row, old, ask)
	}
	if c.undispatched.has(old.Attempt()) {
		return true, reply, nil
	}
	if own, ok := c.queue.find(old.Attempt()); ok && own.record.State() == StateDone {
		return false, own.reply, nil
	} else if ok && own.record.State() == StateRan {
		return false, reply, newAnswerLostRefusal()
	}
	now := c.Clock.Now()
	first := c.firstSeen.getOrPut(old.Attempt(), now)
	if now.Sub(first) < old.DispatchWindow()+c.Margin {
		return false, reply, bergamotrequest.Refuse(bergamotrequest.ReasonProgress, "the same call is in progress").
			WithRun(bergamotrequest.RunUnknown).WithRetryAfter(retryAfterInProgress)
	}
	return false, reply, c.askOutcome(ctx, row, old, ask)
}

func newAnswerLostRefusal() *bergamotrequest.Refusal {
	return bergamotrequest.Refuse(bergamotrequest.ReasonUnknown, "the call ran, but its answer was lost").WithRun(bergamotrequest.RunYes)
}

// askOutcome asks the service whether a call without a recorded outcome ran. Only a positive reply is final: a paused
// entry or a delayed request can run the call after the service reported that it had not run.
func (c *Claims) askOutcome(ctx context.Context, row bergamotstore.Row, old Record, ask AskFunc) *bergamotrequest.Refusal {
	f := bergamotrequest.Refuse(bergamotrequest.ReasonUnknown, "the outcome of the call is not known").WithRun(bergamotrequest.RunUnknown)
	if ask == nil {
		return f
	}
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	ran, err := ask(ctx)
	if err != nil || !ran {
		return f.WithRetryAfter(retryAfterUnresolved)
	}
	// If this write fails, the next repeat of the call asks the service again.
	c.write(ctx, row.Key(), row.Revision(), old.withState(StateRan))
	return newAnswerLostRefusal()
}
