package bergamotcommand

import (
	"context"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotrollout"
)

type bundleRollbackCommand struct {
	platformFlags
	Digest string `arg:"" help:"Digest of the earlier version."`
}

// Run stores the new version and prints its differences from the bundle in force.
func (c *bundleRollbackCommand) Run(s *streams) error {
	return c.withRollout(s, func(ctx context.Context, r *bergamotrollout.Rollout) error {
		b, err := r.Rollback(ctx, c.Digest)
		if err != nil {
			return err
		}
		now, err := r.Bundle(ctx, b.Parent())
		if err != nil {
			return err
		}
		s.printf("version=%d\ndigest=%s\nchanges against version %d in force:\n", b.Version(), b.Digest(), now.Version())
		for _, line := range bergamotbundle.Diff(now, b) {
			s.printf("  %s\n", line)
		}
		s.printf("next: bundle approve %s\n", b.Digest())
		return nil
	})
}
