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
	return c.withRollout(s, func(ctx context.Context, r *bergamotrollout.Rollout) error {
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

// loadBundle reads a bundle from the object store when it is given a digest, otherwise from a file.
func loadBundle(ctx context.Context, r *bergamotrollout.Rollout, fileOrDigest string) (*bergamotbundle.Bundle, error) {
	if bergamotbundle.IsDigest(fileOrDigest) {
		return r.Bundle(ctx, fileOrDigest)
	}
	text, err := os.ReadFile(fileOrDigest)
	if err != nil {
		return nil, err
	}
	return bergamotbundle.Parse(fileOrDigest, text)
}
