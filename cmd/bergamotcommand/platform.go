package bergamotcommand

import bergamotplatform "bergamotspur/platform"

type platformCommand struct {
	Settings string `help:"Settings file of the platform; the environment names it when it is left out."`
	Metrics  string `help:"Port for metrics and status on the address of the machine; none when it is left out."`
}

// Run serves on the users' platform until the process gets SIGTERM or SIGINT, then drains.
func (c *platformCommand) Run(s *streams) error {
	p := &bergamotplatform.Program{Out: s.out, Settings: c.Settings, OperatorPort: c.Metrics}
	return p.Run(s.ctx)
}
