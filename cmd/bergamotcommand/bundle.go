package bergamotcommand

import (
	"context"
	"os"
	"time"

	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotrollout"
	"bergamotspur/core/bergamotsetting"
	"bergamotspur/io/bergamotobject"
	"bergamotspur/io/bergamottable"
)

// bundleCommand groups the commands that check, store, approve and roll out bundles.
type bundleCommand struct {
	Check    bundleCheckCommand    `cmd:"" help:"Check a bundle and print every fault."`
	Keygen   bundleKeygenCommand   `cmd:"" help:"Make an operator's key pair."`
	Propose  bundleProposeCommand  `cmd:"" help:"Store a bundle under its digest."`
	Approve  bundleApproveCommand  `cmd:"" help:"Sign the digest of a stored bundle."`
	Roll     bundleRollCommand     `cmd:"" help:"Put an approved bundle in force."`
	Status   bundleStatusCommand   `cmd:"" help:"Show the version in force in the table and at entries."`
	Diff     bundleDiffCommand     `cmd:"" help:"Compare two bundles, each a file or a digest."`
	Rollback bundleRollbackCommand `cmd:"" help:"Store a new version with the content of an earlier one."`
}

// platformFlags holds the flags of commands that use the table and the object store. The settings of any entry give
// their addresses and the trusted operators.
type platformFlags struct {
	Settings string        `required:"" help:"Settings file of any entry; its [platform] and [trust] are used."`
	Timeout  time.Duration `default:"30s" help:"Longest time that the command may take."`
}

// withRollout calls f with a Rollout that uses the platform's table and object store.
func (p *platformFlags) withRollout(s *streams, f func(ctx context.Context, r *bergamotrollout.Rollout) error) (err error) {
	text, err := os.ReadFile(p.Settings)
	if err != nil {
		return err
	}
	setting, err := bergamotsetting.Parse(p.Settings, text)
	if err != nil {
		return err
	}
	table, objects := bergamottable.NewClient(setting.TableAddress()), bergamotobject.NewClient(setting.ObjectsAddress())
	defer table.Close()
	defer objects.Close()
	ctx, cancel := context.WithTimeout(s.ctx, p.Timeout)
	defer cancel()
	return f(ctx, &bergamotrollout.Rollout{
		Table: timeoutTable{table}, Objects: timeoutObjects{objects}, Trust: setting.Trust(), Clock: bergamotclock.Real{},
	})
}
