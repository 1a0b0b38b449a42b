package bergamotcommand

import (
	"cmp"
	"fmt"
	"slices"
	"text/tabwriter"

	"bergamotspur/io/bergamotwire"
	bergamotplatform "bergamotspur/platform"
)

type layoutCommand struct {
	Entries []string `arg:"" help:"Operators' addresses of entries on the users' platform, as IP:PORT."`
}

// Run prints the state of each entry and the layers of the runners in that entry's view. It fails when an entry does not
// answer.
func (c *layoutCommand) Run(s *streams) (err error) {
	wire := bergamotwire.NewClient()
	defer wire.Close()
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	for _, address := range c.Entries {
		m, askErr := fetchStatus[bergamotplatform.StatusMessage](s.ctx, wire, address)
		if askErr != nil {
			err = fmt.Errorf("entry at %s does not answer, check that the process runs: %w", address, askErr)
			continue
		}
		printLayout(w, m)
	}
	if flushErr := w.Flush(); flushErr != nil {
		return flushErr
	}
	return err
}

func printLayout(w *tabwriter.Writer, m bergamotplatform.StatusMessage) {
	_, _ = fmt.Fprintf(w, "entry %s\tcentre %s\tready %v\tversion %d\tconfirmed %d ms ago\t%d entries\t%s\tplaces layers %v\t%d active\n",
		m.Entry, m.Centre, m.Ready, m.Version, m.ConfigAge, m.Entries, cmp.Or(m.Role, "role unknown"), m.HoldsLease, m.InFlight)
	_, _ = fmt.Fprintln(w, "SERVICE\tCENTRE\tLAYERS\tKIND\tRUNNER\tSTATE")
	runners := slices.Clone(m.Runners)
	slices.SortFunc(runners, func(a, b bergamotplatform.RunnerStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Centre, b.Centre), cmp.Compare(a.From, b.From), cmp.Compare(a.Name, b.Name))
	})
	for n, r := range runners {
		layers := "-"
		if r.To > r.From {
			layers = fmt.Sprintf("%d to %d", r.From, r.To)
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", r.Service, r.Centre, layers, r.Kind, r.Name, r.State)
		if last := n+1 == len(runners) || runners[n+1].Centre != r.Centre || runners[n+1].Service != r.Service; last {
			for _, gap := range missingLayers(runners, r.Service, r.Centre) {
				_, _ = fmt.Fprintf(w, "%s\t%s\t%d to %d\tmissing\t\t\n", r.Service, r.Centre, gap[0], gap[1])
			}
		}
	}
}

// missingLayers returns the half-open ranges of layers that no live runner of a data centre holds. Layers after the last
// held one are not reported, since the number of layers of the model is not known here.
func missingLayers(runners []bergamotplatform.RunnerStatus, service, centre string) (out [][2]int) {
	end := 0
	for _, r := range runners {
		if r.Service != service || r.Centre != centre || r.State != "live" || r.To <= r.From {
			continue
		}
		if r.From > end {
			out = append(out, [2]int{end, r.From})
		}
		end = max(end, r.To)
	}
	return out
}
