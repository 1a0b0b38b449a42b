package bergamotcommand

import bergamotplatform "bergamotspur/platform"

type platformCommand struct{}

// Run serves on the users' platform until the process gets SIGTERM or SIGINT, then drains.
func (c *platformCommand) Run(s *streams) error {
	p := &bergamotplatform.Program{Out: s.out}
	return p.Run(s.ctx)
}
