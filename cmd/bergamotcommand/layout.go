package bergamotcommand

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
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
	_, _ = fmt.Fprintf(w, "entry %s\tcentre %s\tready %v\tversion %d\tconfirmed %d ms ago\t%d entries\t%s\tplaces layers %v\t%d active\tlinks %s\t%d lent\n",
		m.Entry, m.Centre, m.Ready, m.Version, m.ConfigAge, m.Entries, cmp.Or(m.Role, "role unknown"), m.HoldsLease, m.InFlight, cmp.Or(m.Links, "unknown"), m.Lent)
	for _, a := range m.Admission {
		printAdmission(w, a)
	}
	for _, l := range m.Limits {
		_, _ = fmt.Fprintf(w, "limit of %s\t%g requests/s of all entries\t%d sent and %d held back here in 4 s\tpermits %s\n", l.Runner, l.Rate, l.Used, l.Lacked, m.Permits)
	}
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

// printAdmission prints the free capacity of a service and what happened with its requests by priority.
func printAdmission(w *tabwriter.Writer, a bergamotplatform.AdmissionStatus) {
	use := "used"
	if !a.Known {
		use = "not used"
	}
	_, _ = fmt.Fprintf(w, "capacity of %s\t%d of %d tokens free\treports %d ms old\testimate %s\tshare %d of %d entries\t%d in flight\n",
		a.Service, a.Free, a.Total, a.Reports, use, a.Share, a.Entries, a.InFlight)
	for _, c := range a.Centres {
		_, _ = fmt.Fprintf(w, "\tcentre %s\t%d free\treports %d ms old\n", cmp.Or(c.Centre, "(across)"), c.Free, c.Reports)
	}
	for _, l := range a.Levels {
		refused := "none"
		if len(l.Refused) > 0 {
			var parts []string
			for _, reason := range slices.Sorted(maps.Keys(l.Refused)) {
				parts = append(parts, fmt.Sprintf("%s %d", reason, l.Refused[reason]))
			}
			refused = strings.Join(parts, ", ")
		}
		_, _ = fmt.Fprintf(w, "\tpriority %d\treserve %d\t%d waiting\t%d waited\t%d admitted\t%d left\trefused: %s\n",
			l.Priority, l.Reserve, l.Waiting, l.Waited, l.Admitted, l.Left, refused)
	}
	if a.Last != "" {
		_, _ = fmt.Fprintf(w, "\tlast: %s\n", a.Last)
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
