package bergamotcommand

// version is the release that the version command prints.
const version = "0.1.0"

type versionCommand struct{}

// Run prints the version.
func (c *versionCommand) Run(s *streams) error {
	s.printf("bergamotspur %s\n", version)
	return nil
}
