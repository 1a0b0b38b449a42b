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

const statusTimeout = 3 * time.Second

// Run asks every entry and prints a table; it fails when an entry does not answer.
func (c *statusCommand) Run(s *streams) (err error) {
	wire := bergamotwire.NewClient()
	defer wire.Close()
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "ENTRY\tCENTRE\tREADY\tVERSION\tDIGEST\tLIVE\tLEAVING\tFAILED")
	var all []bergamotentry.StatusMessage
	for _, address := range c.Entries {
		m, askErr := askStatus(s.ctx, wire, address)
		if askErr != nil {
			err = fmt.Errorf("entry at %s does not answer, check that the process runs: %w", address, askErr)
			continue
		}
		all = append(all, m)
		states := map[string]int{}
		for _, i := range m.Instances {
			states[i.State]++
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%v\t%d\t%.12s\t%d\t%d\t%d\n", m.Entry, m.Centre, m.Ready, m.Version, m.Digest,
			states["live"], states["leaving"], states["failed"])
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

func askStatus(ctx context.Context, wire *bergamotwire.Client, address string) (m bergamotentry.StatusMessage, err error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	err = wire.Get(ctx, address, "/status", &m)
	return m, err
}
