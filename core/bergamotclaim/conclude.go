package bergamotclaim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"

	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamotstore"
)

const (
	revisionUnknown = -1
	concludeTries   = 3
	objectPrefix    = "claim-"
)

// item is a conclusion that is to be written.
type item struct {
	key      string
	revision int64 // of the claim, or revisionUnknown when it is not known whether the claim was written
	record   Record
	reply    bergamotrequest.Reply
	large    bool // the answer must be in an object
}

// conclude writes one conclusion and tells whether nothing is left to do.
func (c *Claims) conclude(ctx context.Context, i *item) bool {
	if i.revision == revisionUnknown && !c.locate(ctx, i) {
		return i.revision != revisionUnknown
	}
	revision := i.revision
	for range concludeTries {
		record, ok := c.prepare(ctx, i)
		if !ok {
			return false
		}
		row, r := c.write(ctx, i.key, revision, record)
		switch r {
		case resultWritten:
			return true
		case resultUnclear:
			return false
		case resultRejected:
			if i.large || record.State() != StateDone {
				return false
			}
			i.large = true // the row may be larger than the service accepts
			continue
		}
		if c.settled(row, i.record) {
			return true
		}
		revision = row.Revision()
	}
	return false
}

// locate finds the revision of a claim whose write was unclear; it returns false when there is nothing to free, or
// with the revision still unknown when the table does not answer.
func (c *Claims) locate(ctx context.Context, i *item) bool {
	row, err := c.read(ctx, i.key)
	if err != nil {
		return false
	}
	i.revision = row.Revision()
	return compare(row, i.record.with(StateClaimed)) == resultWritten
}

// prepare adds the answer to the record; a large one is stored as an object first.
func (c *Claims) prepare(ctx context.Context, i *item) (record Record, ok bool) {
	if i.record.State() != StateDone {
		return i.record, true
	}
	if len(i.reply.Body()) <= c.Limit && !i.large {
		return i.record.answered(i.reply, ""), true
	}
	name := objectName(i.reply.Body())
	ctx, cancel := c.bound(ctx)
	defer cancel()
	if err := c.Objects.Put(ctx, name, i.reply.Body()); err != nil {
		return record, false
	}
	return i.record.answered(i.reply, name), true
}

// settled tells whether a row that changed after the claim needs no conclusion from this entry.
func (c *Claims) settled(row bergamotstore.Row, record Record) bool {
	stored, err := DecodeRecord(row.Value())
	if err != nil || stored.Attempt() != record.Attempt() {
		if record.State() != StateFree {
			// Only an operator can have freed the key of a call that was dispatched.
			c.Counter.Count("claim.contradicted")
		}
		return true
	}
	switch stored.State() {
	case StateDone:
		return true
	case StateRan:
		return record.State() != StateDone
	default:
		return false
	}
}

// load returns the stored answer.
func (c *Claims) load(ctx context.Context, r Record) (reply bergamotrequest.Reply, refusal *bergamotrequest.Refusal) {
	if r.Object() == "" {
		return r.Reply(), nil
	}
	ctx, cancel := c.bound(ctx)
	defer cancel()
	body, err := c.Objects.Fetch(ctx, r.Object())
	if err != nil || objectName(body) != r.Object() {
		return reply, bergamotrequest.Refuse(bergamotrequest.ReasonObject, "the call ran, but its answer cannot be read now").
			WithRun(bergamotrequest.RunYes).WithRetryAfter(retryTable)
	}
	return bergamotrequest.NewReply(r.Reply().Status(), r.Reply().ContentType(), body), nil
}

// objectName binds the name to the content, so that a damaged object is recognised.
func objectName(body []byte) string {
	sum := sha256.Sum256(body)
	return objectPrefix + hex.EncodeToString(sum[:])
}
