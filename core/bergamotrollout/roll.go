package bergamotrollout

import (
	"context"
	"errors"
	"slices"
	"strings"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotstore"
)

// Roll moves the head from the parent of the bundle with that digest to the bundle and returns the head in
// force. It returns a *Conflict when another version is in force, and a *Failure for anything else.
// Rolling the version that is already in force succeeds, so that an operator may repeat the command.
func (r *Rollout) Roll(ctx context.Context, digest, by string) (h Head, err error) {
	head, revision, err := r.Head(ctx)
	if err != nil || head.digest == digest {
		return head, err
	}
	b, err := r.Bundle(ctx, digest)
	if err != nil {
		return h, err
	}
	if head.digest != b.Parent() || b.Version() != head.version+1 {
		return h, r.conflict(ctx, head, b)
	}
	a, err := r.authority(ctx, head)
	if err != nil {
		return h, err
	}
	if _, ok := a.Operator(by); !ok {
		return h, fail(nil, "use one of these names: "+strings.Join(a.Names(), ", "), "operator %s may not roll version %d", by, b.Version())
	}
	approvals, err := r.collect(ctx, a, b)
	if err != nil {
		return h, err
	}
	h = NewHead(b.Version(), digest, b.Parent(), by, approvals...)
	return r.move(ctx, h, revision, b)
}

// collect returns the valid approvals of b by the operators of a, or a failure that names those who have not approved.
func (r *Rollout) collect(ctx context.Context, a bergamotbundle.Authority, b *bergamotbundle.Bundle) (out []Approval, err error) {
	if out, err = fetchApprovals(ctx, r.Objects, a, b.Digest()); err != nil {
		return nil, fail(err, "nothing was changed; run the same command again once the object store answers",
			"the approvals cannot be read")
	}
	if satisfied(a, b.Digest(), out) {
		return out, nil
	}
	have := signers(a, b.Digest(), out)
	missing := slices.DeleteFunc(a.Names(), func(name string) bool { return slices.Contains(have, name) })
	return nil, fail(nil, "ask for \"bundle approve "+b.Digest()+"\" by one of: "+strings.Join(missing, ", "),
		"version %d has %d of %d approvals (%s)", b.Version(), len(have), a.Needed(), strings.Join(have, ", "))
}

// move writes the head. After a lost reply the write is repeated: all tries carry the same revision, so that
// at most one of them takes effect, and a conflict shows whether it was an earlier one of them.
func (r *Rollout) move(ctx context.Context, h Head, revision int64, b *bergamotbundle.Bundle) (Head, error) {
	value, err := h.Encode()
	if err != nil {
		return h, err
	}
	wait := firstWait
	for n := 1; ; n++ {
		row, ok, swapErr := r.Table.CompareAndSet(ctx, HeadKey, revision, value)
		switch {
		case swapErr == nil && ok:
			return h, nil
		case swapErr == nil:
			return r.settle(ctx, row, b)
		case errors.Is(swapErr, bergamotstore.ErrRejected):
			return h, fail(swapErr, "the version before stays in force; correct the cause and run the same command again",
				"the table rejected the new head")
		}
		if row, err = r.Table.Read(ctx, HeadKey); err == nil && row.Revision() != revision {
			return r.settle(ctx, row, b)
		}
		if n == tries || !r.pause(ctx, &wait) {
			return h, fail(swapErr, "run the same command again once the table answers: it tells whether the write took effect "+
				"and cannot roll twice", "the table did not confirm the new head, so that version %d may or may not be in force", b.Version())
		}
	}
}

// settle returns the head in a row that was written by this roll or by someone else.
func (r *Rollout) settle(ctx context.Context, row bergamotstore.Row, b *bergamotbundle.Bundle) (Head, error) {
	head, err := DecodeHead(row.Value())
	if err != nil {
		return head, fail(err, "find out who wrote the row \"head\" of the table", "the head cannot be read")
	}
	if head.digest == b.Digest() {
		return head, nil
	}
	return head, r.conflict(ctx, head, b)
}

// conflict tells whether b was in force before head, which happens when others go on while a reply is lost.
func (r *Rollout) conflict(ctx context.Context, head Head, b *bergamotbundle.Bundle) error {
	c := &Conflict{head: head, lost: b.Version()}
	digest := head.parent
	for n := head.version - 1; n >= b.Version() && head.version-n <= maxWalk; n-- {
		if n == b.Version() {
			c.stale = digest == b.Digest()
			break
		}
		ancestor, err := r.Bundle(ctx, digest)
		if err != nil {
			break // The conflict stands; only its history stays unknown.
		}
		digest = ancestor.Parent()
	}
	return c
}
