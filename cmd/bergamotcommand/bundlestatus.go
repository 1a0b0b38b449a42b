package bergamotcommand

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"bergamotspur/core/bergamotrollout"
	"bergamotspur/io/bergamotentry"
	"bergamotspur/io/bergamotwire"
)

type bundleStatusCommand struct {
	platformFlags
	History int      `help:"Also list as many earlier versions."`
	Entries []string `arg:"" optional:"" help:"Operators' addresses of entries, as IP:PORT."`
}

// Run prints the head and the bundle that each entry has in force. It fails when an entry does not answer or has another
// bundle in force than the head.
func (c *bundleStatusCommand) Run(s *streams) error {
	return c.withRollout(s, func(ctx context.Context, r *bergamotrollout.Rollout) error {
		head, _, headErr := r.Head(ctx)
		w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
		_, _ = fmt.Fprintln(w, "WHERE\tVERSION\tDIGEST\tREADY\tCONFIRMED")
		switch {
		case headErr != nil:
		case head.Version() == 0:
			_, _ = fmt.Fprintln(w, "head\tnone\t\t\t")
		default:
			_, _ = fmt.Fprintf(w, "head (by %s)\t%d\t%s\t\t\n", head.RolledBy(), head.Version(), head.Digest())
			c.printHistory(ctx, r, w, head)
		}
		behind := c.printEntries(ctx, w, head)
		if err := w.Flush(); err != nil {
			return err
		}
		if headErr != nil {
			return headErr
		}
		if behind > 0 {
			return fmt.Errorf("%d of %d entries do not have version %d in force\n"+
				"  next: run the command again in a few seconds; then look at the log of those entries", behind, len(c.Entries), head.Version())
		}
		return nil
	})
}

// printHistory prints earlier versions from newest to oldest and stops at the first bundle that cannot be loaded.
func (c *bundleStatusCommand) printHistory(ctx context.Context, r *bergamotrollout.Rollout, w io.Writer, head bergamotrollout.Head) {
	version, digest := head.Version()-1, head.Parent()
	for n := 0; n < c.History && digest != ""; n++ {
		_, _ = fmt.Fprintf(w, "earlier\t%d\t%s\t\t\n", version, digest)
		b, err := r.Bundle(ctx, digest)
		if err != nil {
			_, _ = fmt.Fprintf(w, "earlier\tnot known: %s\t\t\t\n", err)
			return
		}
		version, digest = b.Version()-1, b.Parent()
	}
}

// printEntries prints the status of each entry and returns how many do not answer or have another bundle in force than
// the head.
func (c *bundleStatusCommand) printEntries(ctx context.Context, w *tabwriter.Writer, head bergamotrollout.Head) (behind int) {
	wire := bergamotwire.NewClient()
	defer wire.Close()
	for _, address := range c.Entries {
		m, err := fetchStatus[bergamotentry.StatusMessage](ctx, wire, address)
		if err != nil {
			behind++
			_, _ = fmt.Fprintf(w, "%s\tno answer: %s\t\t\t\n", address, err)
			continue
		}
		confirmed := "never"
		if m.HeadAge >= 0 {
			confirmed = fmt.Sprintf("%d ms ago", m.HeadAge)
		}
		_, _ = fmt.Fprintf(w, "%s\t%d\t%s\t%v\t%s\n", m.Entry, m.Version, m.Digest, m.Ready, confirmed)
		if m.Digest != head.Digest() {
			behind++
		}
	}
	return behind
}
