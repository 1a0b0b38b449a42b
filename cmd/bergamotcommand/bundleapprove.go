package bergamotcommand

import (
	"context"

	"bergamotspur/core/bergamotrollout"
)

type bundleApproveCommand struct {
	platformFlags
	Digest string `arg:"" help:"Digest of the bundle."`
	By     string `required:"" help:"Name of the operator who approves."`
	Key    string `required:"" help:"Private key file of the operator."`
}

// Run signs the digest and stores the signature; the key stays in its file.
func (c *bundleApproveCommand) Run(s *streams) error {
	key, err := readKey(c.Key)
	if err != nil {
		return err
	}
	return c.use(s, func(ctx context.Context, r *bergamotrollout.Rollout) error {
		b, err := r.Approve(ctx, c.Digest, c.By, key)
		if err != nil {
			return err
		}
		s.printf("%s approved version %d\nnext: bundle roll %s\n", c.By, b.Version(), b.Digest())
		return nil
	})
}
