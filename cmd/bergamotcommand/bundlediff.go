package bergamotcommand

import (
	"context"
	"os"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotrollout"
)

type bundleDiffCommand struct {
	platformFlags
	Before string `arg:"" help:"Bundle file or digest."`
	After  string `arg:"" help:"Bundle file or digest."`
}

// Run prints one line for each difference.
func (c *bundleDiffCommand) Run(s *streams) error {
	return c.use(s, func(ctx context.Context, r *bergamotrollout.Rollout) error {
		before, err := loadBundle(ctx, r, c.Before)
		if err != nil {
			return err
		}
		after, err := loadBundle(ctx, r, c.After)
		if err != nil {
			return err
		}
		for _, line := range bergamotbundle.Diff(before, after) {
			s.printf("%s\n", line)
		}
		return nil
	})
}

func loadBundle(ctx context.Context, r *bergamotrollout.Rollout, where string) (*bergamotbundle.Bundle, error) {
	if bergamotbundle.IsDigest(where) {
		return r.Bundle(ctx, where)
	}
	text, err := os.ReadFile(where)
	if err != nil {
		return nil, err
	}
	return bergamotbundle.Parse(where, text)
}
