package bergamotclaim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"

	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamotstore"
)

const (
	revisionUnknown  = -1
	maxConcludeTries = 3
	objectPrefix     = "claim-"
)

// item is a conclusion to be written.
type item struct {
	key         string
	revision    int64 // of the row with the claim, or revisionUnknown when it is not known whether the claim was written
	record      Record
	reply       bergamotrequest.Reply
	needsObject bool // the answer must be stored in an object
}

// conclude writes a conclusion and reports whether it is written or no longer needed.
func (c *Claims) conclude(ctx context.Context, i *item) bool {
	if i.revision == revisionUnknown && !c.findRevision(ctx, i) {
		return i.revision != revisionUnknown
	}
	revision := i.revision
	for range maxConcludeTries {
		record, ok := c.prepareRecord(ctx, i)
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
			if i.needsObject || record.State() != StateDone {
				return false
			}
			i.needsObject = true // the row may be larger than the service accepts
			continue
		}
		if c.isConcluded(row, i.record) {
			return true
		}
		revision = row.Revision()
	}
	return false
}

// findRevision reads the revision of a claim that may not have been written. It reports whether the row holds that
// claim. If the table cannot be read, it returns false and leaves the revision unknown.
func (c *Claims) findRevision(ctx context.Context, i *item) bool {
	row, err := c.read(ctx, i.key)
	if err != nil {
		return false
	}
	i.revision = row.Revision()
	return compareRow(row, i.record.withState(StateClaimed)) == resultWritten
}

// prepareRecord returns the record with the answer. An answer that is too large for the row is stored in an object
// first.
func (c *Claims) prepareRecord(ctx context.Context, i *item) (record Record, ok bool) {
	if i.record.State() != StateDone {
		return i.record, true
	}
	if len(i.reply.Body()) <= c.MaxInlineBytes && !i.needsObject {
		return i.record.withAnswer(i.reply, ""), true
	}
	name := objectName(i.reply.Body())
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	if err := c.Objects.Put(ctx, name, i.reply.Body()); err != nil {
		return record, false
	}
	return i.record.withAnswer(i.reply, name), true
}

// isConcluded reports whether a row that changed after the claim needs no conclusion from this entry.
func (c *Claims) isConcluded(row bergamotstore.Row, record Record) bool {
	stored, err := DecodeRecord(row.Value())
	if err != nil || stored.Attempt() != record.Attempt() {
		if record.State() != StateFree {
			// Only an operator can have freed the key of a dispatched call.
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

// loadAnswer returns the stored answer, or a refusal when its object cannot be read or is damaged.
func (c *Claims) loadAnswer(ctx context.Context, r Record) (reply bergamotrequest.Reply, refusal *bergamotrequest.Refusal) {
	if r.Object() == "" {
		return r.Reply(), nil
	}
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	body, err := c.Objects.Fetch(ctx, r.Object())
	if err != nil || objectName(body) != r.Object() {
		return reply, bergamotrequest.Refuse(bergamotrequest.ReasonObject, "the call ran, but its answer cannot be read now").
			WithRun(bergamotrequest.RunYes).WithRetryAfter(retryAfterStoreFailure)
	}
	return bergamotrequest.NewReply(r.Reply().Status(), r.Reply().ContentType(), body), nil
}

// objectName returns a name that contains the hash of the content, so that a damaged object is detected.
func objectName(body []byte) string {
	sum := sha256.Sum256(body)
	return objectPrefix + hex.EncodeToString(sum[:])
}
