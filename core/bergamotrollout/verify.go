package bergamotrollout

import (
	"context"
	"errors"
	"strings"

	"github.com/samber/oops"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotstore"
)

// maxAncestors is the number of versions that an entry goes back from the head to find one that operators whom it
// trusts approved. Operators change seldom, so that they have nearly always approved the head itself.
const maxAncestors = 64

// verify returns nil if the operators of current, or of Trust if current is nil, approved b or an ancestor of b, and
// each later version up to b was approved by the operators of its parent.
func (s *Source) verify(ctx context.Context, b *bergamotbundle.Bundle, approvals []Approval, current *bergamotbundle.Bundle) (err error) {
	trusted, currentVersion := s.Trust, int64(0)
	if current != nil {
		trusted, currentVersion = current.Authority(), current.Version()
	}
	headVersion := b.Version()
	for range maxAncestors {
		if hasEnoughApprovals(trusted, b.Digest(), approvals) {
			return nil
		}
		// The parent of this version is the current one, whose operators did not approve it.
		if b.Version() <= currentVersion+1 {
			break
		}
		parent, err := fetchBundle(ctx, s.fetcher(), b.Parent())
		if err != nil {
			return err
		}
		if parent.Version() != b.Version()-1 || !hasEnoughApprovals(parent.Authority(), b.Digest(), approvals) {
			break
		}
		if approvals, err = s.approvals(ctx, parent, trusted, currentVersion); err != nil {
			return err
		}
		b = parent
	}
	return oops.Errorf("version %d is not approved by operators that this entry trusts (%s)", headVersion, strings.Join(trusted.Names(), ", "))
}

// approvals returns the approvals of b by the operators of trusted and, unless those suffice, of the parent of b.
func (s *Source) approvals(ctx context.Context, b *bergamotbundle.Bundle, trusted bergamotbundle.Authority, currentVersion int64) (out []Approval, err error) {
	if out, err = fetchApprovals(ctx, s.fetcher(), trusted, b.Digest()); err != nil {
		return nil, err
	}
	if hasEnoughApprovals(trusted, b.Digest(), out) || b.Version() <= currentVersion+1 {
		return out, nil
	}
	parent, err := fetchBundle(ctx, s.fetcher(), b.Parent())
	if err != nil {
		return nil, err
	}
	more, err := fetchApprovals(ctx, s.fetcher(), parent.Authority(), b.Digest())
	return append(out, more...), err
}

// fetchBundle returns the bundle with that digest, or an error if the text does not have that digest or is not valid.
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

// matchesDigest reports whether a bundle text in data has the digest in name. For any other kind of object it returns
// true, since the name says nothing about the content.
func matchesDigest(name string, data []byte) bool {
	digest, ok := strings.CutPrefix(name, ObjectName(""))
	if !ok {
		return true
	}
	text, err := unpack(data)
	return err == nil && bergamotbundle.Digest(text) == digest
}

// fetchApprovals returns the valid stored approvals of a digest by the operators of a. It skips an approval that is
// missing, malformed or wrongly signed, since anyone with write access to the store can put any data under its name.
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
		if approval, err := DecodeApproval(data); err == nil && approval.digest == digest && approval.Valid(o) {
			out = append(out, approval)
		}
	}
	return out, nil
}
