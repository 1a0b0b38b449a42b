package bergamotcommand

import (
	"context"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotrollout"
)

type bundleApproveCommand struct {
	platformFlags
	Digest string `arg:"" help:"Digest of the bundle."`
	By     string `required:"" help:"Name of the operator who approves."`
	Key    string `required:"" help:"Private key file of the operator."`
}

// Run prints the differences from the parent bundle, signs the digest and stores only the signature, never the key.
func (c *bundleApproveCommand) Run(s *streams) error {
	key, err := readKey(c.Key)
	if err != nil {
		return err
	}
	return c.withRollout(s, func(ctx context.Context, r *bergamotrollout.Rollout) error {
		if err := c.printChanges(ctx, s, r); err != nil {
			return err
		}
		b, err := r.Approve(ctx, c.Digest, c.By, key)
		if err != nil {
			return err
		}
		s.printf("%s approved version %d\nnext: bundle roll %s\n", c.By, b.Version(), b.Digest())
		return nil
	})
}

// printChanges prints the differences between the bundle and its parent, and nothing for a bundle without a parent.
func (c *bundleApproveCommand) printChanges(ctx context.Context, s *streams, r *bergamotrollout.Rollout) error {
	b, err := r.Bundle(ctx, c.Digest)
	if err != nil || b.Parent() == "" {
		return err
	}
	before, err := r.Bundle(ctx, b.Parent())
	if err != nil {
		return err
	}
	s.printf("changes against version %d:\n", before.Version())
	for _, line := range bergamotbundle.Diff(before, b) {
		s.printf("  %s\n", line)
	}
	return nil
}
