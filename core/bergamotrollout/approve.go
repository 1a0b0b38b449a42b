package bergamotrollout

import (
	"context"
	"crypto/ed25519"
	"strings"

	"bergamotspur/core/bergamotbundle"
)

// Approve signs the digest of a stored bundle and stores the approval. It returns a *Conflict if the head names
// neither the bundle nor its parent, and an error if operator may not approve the version or key is not the key of
// operator, so that an approval without effect is reported at once.
func (r *Rollout) Approve(ctx context.Context, digest, operator string, key ed25519.PrivateKey) (b *bergamotbundle.Bundle, err error) {
	if b, err = r.Bundle(ctx, digest); err != nil {
		return nil, err
	}
	head, _, err := r.Head(ctx)
	if err != nil {
		return nil, err
	}
	if head.digest != b.Parent() && head.digest != digest {
		return nil, &Conflict{head: head, bundleVersion: b.Version()}
	}
	a := r.Trust
	if b.Parent() != "" {
		if a, err = r.authority(ctx, Head{version: 1, digest: b.Parent()}); err != nil {
			return nil, err
		}
	}
	o, ok := a.Operator(operator)
	if !ok {
		return nil, newFailure(nil, "use one of these names: "+strings.Join(a.Names(), ", "),
			"operator %s may not approve version %d", operator, b.Version())
	}
	approval := Sign(operator, digest, key)
	if !approval.Valid(o) {
		return nil, newFailure(nil, "use the key file that belongs to the public key of this operator",
			"the key is not the one of operator %s in the version before", operator)
	}
	data, err := approval.Encode()
	if err != nil {
		return nil, err
	}
	if err = r.put(ctx, ApprovalName(digest, operator), data); err != nil {
		return nil, newFailure(err, "run the same command again once the object store answers; approving twice does no harm",
			"the object store did not confirm that it stored the approval")
	}
	return b, nil
}
