package bergamotcommand

import (
	"context"

	"bergamotspur/core/bergamotrollout"
)

type bundleRollCommand struct {
	platformFlags
	Digest string `arg:"" help:"Digest of the bundle."`
	By     string `required:"" help:"Name of the operator who rolls."`
}

// Run points the head to the bundle and prints the operator who rolled it.
func (c *bundleRollCommand) Run(s *streams) error {
	return c.withRollout(s, func(ctx context.Context, r *bergamotrollout.Rollout) error {
		h, err := r.Roll(ctx, c.Digest, c.By)
		if err != nil {
			return err
		}
		s.printf("version %d is in force, rolled by %s\ndigest=%s\nnext: bundle status IP:PORT...\n", h.Version(), h.RolledBy(), h.Digest())
		return nil
	})
}
