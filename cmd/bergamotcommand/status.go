package bergamotcommand

import (
	"context"
	"encoding/json"
	"fmt"
	"text/tabwriter"
	"time"

	"bergamotspur/io/bergamotentry"
	"bergamotspur/io/bergamotwire"
)

type statusCommand struct {
	Entries []string `arg:"" help:"Operators' addresses of entries, as IP:PORT."`
	JSON    bool     `help:"Print JSON for programs."`
}

// statusTimeout limits a status request, and also a table call of the claims commands and a request of the demo.
const statusTimeout = 3 * time.Second

// Run prints a table, or JSON, with the status of each entry. It fails when an entry does not answer.
func (c *statusCommand) Run(s *streams) (err error) {
	wire := bergamotwire.NewClient()
	defer wire.Close()
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "ENTRY\tCENTRE\tREADY\tVERSION\tDIGEST\tAGE\tENTRIES\tLIVE\tLEAVING\tFAILED\tNEXT")
	var all []bergamotentry.StatusMessage
	for _, address := range c.Entries {
		m, askErr := fetchStatus[bergamotentry.StatusMessage](s.ctx, wire, address)
		if askErr != nil {
			err = fmt.Errorf("entry at %s does not answer, check that the process runs: %w", address, askErr)
			continue
		}
		all = append(all, m)
		states := map[string]int{}
		for _, i := range m.Instances {
			states[i.State]++
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%v\t%d\t%.12s\t%s\t%s\t%d\t%d\t%d\t%s\n", m.Entry, m.Centre, m.Ready, m.Version, m.Digest,
			formatAge(m), formatLiveEntries(m), states["live"], states["leaving"], states["failed"], m.Advice)
	}
	if c.JSON {
		data, jsonErr := json.MarshalIndent(all, "", "  ")
		if jsonErr != nil {
			return jsonErr
		}
		s.printf("%s\n", data)
		return err
	}
	if flushErr := w.Flush(); flushErr != nil {
		return flushErr
	}
	return err
}

// formatAge returns the time since the head was last read and the limit for that time.
func formatAge(m bergamotentry.StatusMessage) string {
	if m.HeadAge < 0 {
		return "never"
	}
	return fmt.Sprintf("%d of %d ms", m.HeadAge, m.MaxHeadAge)
}

// formatLiveEntries returns how many of the known entries are live; a suspected entry still counts as live.
func formatLiveEntries(m bergamotentry.StatusMessage) string {
	if len(m.Members) == 0 {
		return "-"
	}
	live := 0
	for _, member := range m.Members {
		if member.State == "alive" || member.State == "suspected" {
			live++
		}
	}
	return fmt.Sprintf("%d of %d", live, len(m.Members))
}

// fetchStatus returns the status of an entry. M is the message type, which differs between the two front ends.
func fetchStatus[M any](ctx context.Context, wire *bergamotwire.Client, address string) (m M, err error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	err = wire.Get(ctx, address, "/status", &m)
	return m, err
}
