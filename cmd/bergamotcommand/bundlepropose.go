package bergamotcommand

import (
	"context"
	"errors"
	"os"

	"bergamotspur/core/bergamotini"
	"bergamotspur/core/bergamotrollout"
)

type bundleProposeCommand struct {
	platformFlags
	File string `arg:"" help:"Bundle in INI format."`
}

// Run checks and stores the bundle and prints its digest.
func (c *bundleProposeCommand) Run(s *streams) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	return c.withRollout(s, func(ctx context.Context, r *bergamotrollout.Rollout) error {
		b, err := r.Propose(ctx, c.File, text)
		var faults bergamotini.Faults
		if errors.As(err, &faults) {
			s.printf("%s\n", faults)
			return errFaults
		}
		if err != nil {
			return err
		}
		s.printf("version=%d\ndigest=%s\nnext: bundle approve %s\n", b.Version(), b.Digest(), b.Digest())
		return nil
	})
}
