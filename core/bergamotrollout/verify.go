package bergamotrollout

import (
	"context"
	"errors"
	"strings"

	"github.com/samber/oops"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotstore"
)

// maxWalk is how many versions an entry goes back to find one that it can trust. Operators change seldom, so
// that the head itself is nearly always approved by operators whom the entry already knows.
const maxWalk = 64

// verify returns nil when b is approved by the operators of the bundle in force (of Trust when there is none),
// or when each version back to one that they approved is approved by the operators of its parent.
func (s *Source) verify(ctx context.Context, b *bergamotbundle.Bundle, approvals []Approval, current *bergamotbundle.Bundle) (err error) {
	anchor, floor := s.Trust, int64(0)
	if current != nil {
		anchor, floor = current.Authority(), current.Version()
	}
	head := b.Version()
	for range maxWalk {
		if satisfied(anchor, b.Digest(), approvals) {
			return nil
		}
		// The parent of the next version is the one in force itself, whose operators did not approve.
		if b.Version() <= floor+1 {
			break
		}
		parent, err := fetchBundle(ctx, s.fetchers(), b.Parent())
		if err != nil {
			return err
		}
		if parent.Version() != b.Version()-1 || !satisfied(parent.Authority(), b.Digest(), approvals) {
			break
		}
		if approvals, err = s.approvals(ctx, parent, anchor, floor); err != nil {
			return err
		}
		b = parent
	}
	return oops.Errorf("version %d is not approved by operators that this entry trusts (%s)", head, strings.Join(anchor.Names(), ", "))
}

// approvals returns the approvals of b by the operators of anchor and of the parent of b.
func (s *Source) approvals(ctx context.Context, b *bergamotbundle.Bundle, anchor bergamotbundle.Authority, floor int64) (out []Approval, err error) {
	if out, err = fetchApprovals(ctx, s.fetchers(), anchor, b.Digest()); err != nil {
		return nil, err
	}
	if satisfied(anchor, b.Digest(), out) || b.Version() <= floor+1 {
		return out, nil
	}
	parent, err := fetchBundle(ctx, s.fetchers(), b.Parent())
	if err != nil {
		return nil, err
	}
	more, err := fetchApprovals(ctx, s.fetchers(), parent.Authority(), b.Digest())
	return append(out, more...), err
}

// fetchBundle returns the bundle of a digest and verifies that its text has that digest.
func fetchBundle(ctx context.Context, f Fetcher, digest string) (*bergamotbundle.Bundle, error) {
	data, err := f.Fetch(ctx, ObjectName(digest))
	if err != nil {
		return nil, err
	}
	text, err := unpack(data)
	if err != nil {
		return nil, err
	}
	if bergamotbundle.Digest(text) != digest {
		return nil, oops.Errorf("object does not match digest %s", digest)
	}
	return bergamotbundle.Parse(ObjectName(digest), text)
}

// validObject tells whether data can be what is stored under name, as far as the name tells.
func validObject(name string, data []byte) bool {
	digest, ok := strings.CutPrefix(name, ObjectName(""))
	if !ok {
		return true
	}
	text, err := unpack(data)
	return err == nil && bergamotbundle.Digest(text) == digest
}

// fetchApprovals returns the stored approvals of a digest by the operators of a. A missing or malformed one is
// left out, since anybody who can write to the store can put anything under its name.
func fetchApprovals(ctx context.Context, f Fetcher, a bergamotbundle.Authority, digest string) (out []Approval, err error) {
	for _, name := range a.Names() {
		data, err := f.Fetch(ctx, ApprovalName(digest, name))
		if errors.Is(err, bergamotstore.ErrNotFound) {
			continue
		}
		if err != nil {
			return nil, err
		}
		o, _ := a.Operator(name)
		if x, err := DecodeApproval(data); err == nil && x.digest == digest && x.Valid(o) {
			out = append(out, x)
		}
	}
	return out, nil
}
