package bergamotcommand

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"bergamotspur/core/bergamotclaim"
)

type claimsListCommand struct {
	tableFlags
	Wait time.Duration `help:"Leave out claimed calls that are concluded within this time."`
}

// Run prints calls without an outcome. Those in state claimed may still be in progress; no row tells for how long,
// since the clocks of two machines cannot be compared.
func (c *claimsListCommand) Run(s *streams) (err error) {
	table, err := c.open()
	if err != nil {
		return err
	}
	defer table.Close()
	before := map[string]bool{}
	if c.Wait > 0 {
		err = bergamotclaim.WalkOpenCalls(s.ctx, pager{table}, func(e bergamotclaim.OpenCall) { before[e.Record().Attempt()] = true })
		if err != nil {
			return err
		}
		if err = wait(s.ctx, c.Wait); err != nil {
			return err
		}
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "STATE\tWORKSPACE\tKEY\tCALL\tATTEMPT")
	err = bergamotclaim.WalkOpenCalls(s.ctx, pager{table}, func(e bergamotclaim.OpenCall) {
		r := e.Record()
		if c.Wait > 0 && r.State() == bergamotclaim.StateClaimed && !before[r.Attempt()] {
			return
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s/%s\t%s\n", r.State(), e.Workspace(), e.Key(), r.Service(), r.Call(), r.Attempt())
	})
	if err != nil {
		return err
	}
	return w.Flush()
}

func wait(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
