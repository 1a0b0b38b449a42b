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

// Run prints calls without a recorded outcome. A call in state claimed may still be in progress. Rows hold no start time,
// since the clocks of two machines cannot be compared; so with --wait the table is read twice and a claimed call is
// printed only if it was there both times.
func (c *claimsListCommand) Run(s *streams) (err error) {
	table, err := c.open()
	if err != nil {
		return err
	}
	defer table.Close()
	openBefore := map[string]bool{}
	if c.Wait > 0 {
		err = bergamotclaim.WalkOpenCalls(s.ctx, timeoutPager{table}, func(e bergamotclaim.OpenCall) { openBefore[e.Record().Attempt()] = true })
		if err != nil {
			return err
		}
		if err = sleep(s.ctx, c.Wait); err != nil {
			return err
		}
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "STATE\tWORKSPACE\tKEY\tCALL\tATTEMPT")
	err = bergamotclaim.WalkOpenCalls(s.ctx, timeoutPager{table}, func(e bergamotclaim.OpenCall) {
		r := e.Record()
		if c.Wait > 0 && r.State() == bergamotclaim.StateClaimed && !openBefore[r.Attempt()] {
			return
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s/%s\t%s\n", r.State(), e.Workspace(), e.Key(), r.Service(), r.Call(), r.Attempt())
	})
	if err != nil {
		return err
	}
	return w.Flush()
}

// sleep waits for d, or returns the error of ctx when ctx is done first.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
