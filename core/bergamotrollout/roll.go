package bergamotrollout

import (
	"context"
	"errors"
	"slices"
	"strings"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotstore"
)

// Roll moves the head from the parent of the bundle with that digest to the bundle and returns the head in force. It
// returns a *Conflict if the head does not name the parent, and a *Failure if the table or the object store fails,
// approvals are missing or operator may not roll. Rolling the version in force succeeds, so that an operator can retry
// the command.
func (r *Rollout) Roll(ctx context.Context, digest, operator string) (h Head, err error) {
	head, revision, err := r.Head(ctx)
	if err != nil || head.digest == digest {
		return head, err
	}
	b, err := r.Bundle(ctx, digest)
	if err != nil {
		return h, err
	}
	if head.digest != b.Parent() || b.Version() != head.version+1 {
		return h, r.newConflict(ctx, head, b)
	}
	a, err := r.authority(ctx, head)
	if err != nil {
		return h, err
	}
	if _, ok := a.Operator(operator); !ok {
		return h, newFailure(nil, "use one of these names: "+strings.Join(a.Names(), ", "), "operator %s may not roll version %d", operator, b.Version())
	}
	approvals, err := r.collectApprovals(ctx, a, b)
	if err != nil {
		return h, err
	}
	h = NewHead(b.Version(), digest, b.Parent(), operator, approvals...)
	return r.writeHead(ctx, h, revision, b)
}

// collectApprovals returns the valid approvals of b by the operators of a, or a *Failure that names the operators who
// have not approved.
func (r *Rollout) collectApprovals(ctx context.Context, a bergamotbundle.Authority, b *bergamotbundle.Bundle) (out []Approval, err error) {
	if out, err = fetchApprovals(ctx, r.Objects, a, b.Digest()); err != nil {
		return nil, newFailure(err, "nothing was changed; run the same command again once the object store answers",
			"the approvals cannot be read")
	}
	if hasEnoughApprovals(a, b.Digest(), out) {
		return out, nil
	}
	signed := signers(a, b.Digest(), out)
	missing := slices.DeleteFunc(a.Names(), func(name string) bool { return slices.Contains(signed, name) })
	return nil, newFailure(nil, "ask for \"bundle approve "+b.Digest()+"\" by one of: "+strings.Join(missing, ", "),
		"version %d has %d of %d approvals (%s)", b.Version(), len(signed), a.NeededApprovals(), strings.Join(signed, ", "))
}

// writeHead replaces the head, which has the given revision, and retries if the outcome of a write is unknown. All
// tries carry the same revision, so that at most one of them takes effect. If the revision has changed, the row shows
// whether an earlier try or another operator changed it.
func (r *Rollout) writeHead(ctx context.Context, h Head, revision int64, b *bergamotbundle.Bundle) (Head, error) {
	value, err := h.Encode()
	if err != nil {
		return h, err
	}
	backoff := initialBackoff
	for n := 1; ; n++ {
		row, ok, swapErr := r.Table.CompareAndSet(ctx, HeadKey, revision, value)
		switch {
		case swapErr == nil && ok:
			return h, nil
		case swapErr == nil:
			return r.rollOutcome(ctx, row, b)
		case errors.Is(swapErr, bergamotstore.ErrRejected):
			return h, newFailure(swapErr, "the version before stays in force; correct the cause and run the same command again",
				"the table rejected the new head")
		}
		if row, err = r.Table.Read(ctx, HeadKey); err == nil && row.Revision() != revision {
			return r.rollOutcome(ctx, row, b)
		}
		if n == maxTries || !r.backOff(ctx, &backoff) {
			return h, newFailure(swapErr, "run the same command again once the table answers: it tells whether the write took effect "+
				"and cannot roll twice", "the table did not confirm the new head, so that version %d may or may not be in force", b.Version())
		}
	}
}

// rollOutcome returns the head in row, with a *Conflict if it does not name b.
func (r *Rollout) rollOutcome(ctx context.Context, row bergamotstore.Row, b *bergamotbundle.Bundle) (Head, error) {
	head, err := DecodeHead(row.Value())
	if err != nil {
		return head, newFailure(err, "find out who wrote the row \"head\" of the table", "the head cannot be read")
	}
	if head.digest == b.Digest() {
		return head, nil
	}
	return head, r.newConflict(ctx, head, b)
}

// newConflict returns the *Conflict of b with head. It looks for b among the ancestors of head, since b may have been
// in force while the reply was lost, until another operator rolled the next version.
func (r *Rollout) newConflict(ctx context.Context, head Head, b *bergamotbundle.Bundle) error {
	c := &Conflict{head: head, bundleVersion: b.Version()}
	digest := head.parent
	for n := head.version - 1; n >= b.Version() && head.version-n <= maxAncestors; n-- {
		if n == b.Version() {
			c.superseded = digest == b.Digest()
			break
		}
		ancestor, err := r.Bundle(ctx, digest)
		if err != nil {
			break // It stays unknown whether b was in force.
		}
		digest = ancestor.Parent()
	}
	return c
}
