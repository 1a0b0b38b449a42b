package bergamotcommand

import (
	"os"

	"bergamotspur/core/bergamotbundle"
)

type bundleCheckCommand struct {
	File string `arg:"" help:"Bundle in INI format."`
}

// Run prints every fault of the bundle, or its version and digest.
func (c *bundleCheckCommand) Run(s *streams) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	b, err := bergamotbundle.Parse(c.File, text)
	if err != nil {
		s.printf("%s\n", err)
		return errFaults
	}
	s.printf("%s: ok\nversion=%d\ndigest=%s\n", c.File, b.Version(), b.Digest())
	return nil
}
