package bergamotcommand

import (
	"os"

	"bergamotspur/core/bergamotsetting"
	"bergamotspur/io/bergamotentry"
)

type serveCommand struct {
	Settings string `arg:"" type:"existingfile" help:"Settings file in INI format."`
}

// Run serves until the process gets SIGTERM or SIGINT, then drains.
func (c *serveCommand) Run(s *streams) (err error) {
	text, err := os.ReadFile(c.Settings)
	if err != nil {
		return err
	}
	setting, err := bergamotsetting.Parse(c.Settings, text)
	if err != nil {
		return err
	}
	e := &bergamotentry.Entry{Setting: setting, Log: s.err}
	if err = e.Init(); err != nil {
		return err
	}
	s.printf("callers=%s\noperators=%s\n", e.CallerAddress(), e.OperatorAddress())
	if e.PeerAddress() != "" {
		s.printf("peers=%s\n", e.PeerAddress())
	}
	return e.Run(s.ctx)
}
